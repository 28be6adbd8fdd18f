package fleet

import (
	"cmp"
	"time"

	"sprucehill/internal/tomlfile"
)

// The interval between two saves of one kind of state: its default and its range.
const (
	defaultSaveInterval = 2 * time.Second
	minSaveInterval     = 100 * time.Millisecond
	maxSaveInterval     = time.Minute
)

// State configures where the balancer saves the state that a later process needs. Without a folder it saves nothing.
type State struct {
	// Folder belongs to one balancer: two never share one.
	Folder string `toml:"folder"`
	// Site identifies the fleet: a state that was saved for another site is not used.
	Site string `toml:"site"`
	// Every is the least interval between two saves of one kind, from 100 ms to 1 m; 0: the default of 2 s.
	Every tomlfile.Duration `toml:"every"`
}

func (s State) validate() error {
	if s.Folder == "" && s != (State{}) {
		return badSetting("state.folder", "is missing")
	}
	interval := s.Every.D()
	if interval != 0 && (interval < minSaveInterval || interval > maxSaveInterval) {
		return badSetting("state.every", "%v is not within %v and %v", interval, minSaveInterval, maxSaveInterval)
	}
	return nil
}

// SaveInterval returns the least interval between two saves of one kind.
func (s State) SaveInterval() time.Duration { return cmp.Or(s.Every.D(), defaultSaveInterval) }
