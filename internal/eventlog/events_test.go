package eventlog

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	eventInCode = regexp.MustCompile(`"msg", "([^"]*)"`)
	eventInPage = regexp.MustCompile(`(?m)^\| ([^|]*) \| [^|]* \|$`)
)

// Guards against events that the operators' page doesn't explain, and against rows for events that no
// longer exist. Events whose name is chosen at run time are listed here.
func TestEventsAreDocumented(t *testing.T) {
	is := is.New(t)
	root := filepath.Join("..", "..")
	code := map[string]bool{"control lost": true, "control regained": true, "lines dropped": true}
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(name string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			data, err := os.ReadFile(name)
			for _, m := range eventInCode.FindAllStringSubmatch(string(data), -1) {
				code[m[1]] = true
			}
			return err
		})
		is.NoErr(err)
	}
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	is.NoErr(err)
	_, table, ok := strings.Cut(string(page), "\n## Events\n")
	is.True(ok)
	documented := map[string]bool{}
	for _, m := range eventInPage.FindAllStringSubmatch(table, -1) {
		documented[m[1]] = true
	}
	delete(documented, "msg")
	for event := range code {
		if !documented[event] {
			t.Errorf("event %q isn't in the table", event)
		}
	}
	for event := range documented {
		if !code[event] && event != "---" {
			t.Errorf("event %q of the table isn't in the code", event)
		}
	}
}
