package settings

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against example files that are no longer valid settings.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*/*-[0-9].jsonc")
	is.NoErr(err)
	is.Equal(len(files), 6) // an entry host, a control host and both, for each organisation
	for _, f := range files {
		s, err := Load(f)
		is.NoErr(err)
		is.Equal(s.Host+".jsonc", filepath.Base(f))
	}
}
