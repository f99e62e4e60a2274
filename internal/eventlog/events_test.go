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
	eventInDocs = regexp.MustCompile(`(?m)^\| ([^|]*) \| [^|]* \|$`)
)

// Guards against log events without a row in the table of events of the operations manual, and against rows
// for events that no longer exist. Events whose name is not a literal after "msg" are listed here.
func TestEventsAreDocumented(t *testing.T) {
	is := is.New(t)
	root := filepath.Join("..", "..")
	logged := map[string]bool{"control lost": true, "control regained": true, "lines dropped": true}
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(name string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			data, err := os.ReadFile(name)
			for _, m := range eventInCode.FindAllStringSubmatch(string(data), -1) {
				logged[m[1]] = true
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
	for _, m := range eventInDocs.FindAllStringSubmatch(table, -1) {
		documented[m[1]] = true
	}
	delete(documented, "msg")
	for event := range logged {
		if !documented[event] {
			t.Errorf("event %q is logged but has no row in the table of events", event)
		}
	}
	for event := range documented {
		if !logged[event] && event != "---" {
			t.Errorf("event %q has a row in the table of events but is never logged", event)
		}
	}
}
