// Package fleet reads the fleet file, a TOML file whose path is in the environment variable RELAY_FLEET. It holds the
// balancer settings that are not part of the platform's own configuration. Without the file every setting has its zero
// value.
//
// The package validates the syntax and the ranges of the settings. It opens no other file and has no state.
package fleet

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"

	"sprucehill/internal/tomlfile"
)

// EnvironmentVariable is the name of the environment variable with the path of the fleet file.
const EnvironmentVariable = "RELAY_FLEET"

// File holds the settings of a fleet file.
type File struct {
	Regions    Regions    `toml:"regions"`
	Log        Log        `toml:"log"`
	State      State      `toml:"state"`
	Membership Membership `toml:"membership"`
	// Digest is the xxhash64 of the file's text, or 0 without a file. Members publish it, so that an operator can see which
	// of them have the same file.
	Digest uint64 `toml:"-"`
}

// Load reads the file that the environment variable names, and returns the zero value if the variable is empty. The error is
// one line that names the file and, if a setting is invalid, its key.
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

// Parse parses and validates the text of a fleet file. The path is only used in error messages, each of which is one line
// that begins with it. The error is one of tomlfile.Decode or wraps a SettingError.
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

// Localities returns the locality, region/zone, of each zone. It is nil if the file has no regions.
func (f File) Localities() map[string]string { return f.Regions.localities() }
