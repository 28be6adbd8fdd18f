// Package fleet reads the fleet file, a TOML file that the environment variable RELAY_FLEET names. It has the settings of a
// balancer that are not part of the platform's own configuration. Without the file every setting has its zero value.
//
// The package checks the form and the ranges of what it reads. It opens no other file and has no state.
package fleet

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"

	"sprucehill/internal/tomlfile"
)

// EnvironmentVariable names the fleet file.
const EnvironmentVariable = "RELAY_FLEET"

// File is a fleet file.
type File struct {
	Regions    Regions    `toml:"regions"`
	Log        Log        `toml:"log"`
	State      State      `toml:"state"`
	Membership Membership `toml:"membership"`
	// Digest is the xxhash64 of the file's text; 0: no file. Members exchange it, so that an operator sees which of them have
	// the same file.
	Digest uint64 `toml:"-"`
}

// Load reads the file that the environment names, and returns the zero value if it names none. An error is one line that
// names the file and, if one is at fault, the key.
func Load(getenv func(string) string) (File, error) {
	path := getenv(EnvironmentVariable)
	if path == "" {
		return File{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("%s: %w", EnvironmentVariable, err)
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a fleet file. The path is for messages. An error is one line that begins with it:
// an error of tomlfile.Decode, or a SettingError that is wrapped.
func Parse(path string, text []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(path, text, &f); err != nil {
		return File{}, err
	}
	if err := f.validate(); err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	f.Digest = xxhash.Sum64(text)
	return f, nil
}

func (f File) validate() error {
	if err := f.Regions.validate(); err != nil {
		return err
	}
	if err := f.State.validate(); err != nil {
		return err
	}
	if err := f.Membership.validate(); err != nil {
		return err
	}
	return f.Log.validate()
}

// Localities returns the region/zone of each zone. It is nil if the file has no regions.
func (f File) Localities() map[string]string { return f.Regions.localities() }
