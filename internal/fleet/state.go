package fleet

import (
	"cmp"
	"time"

	"sprucehill/internal/tomlfile"
)

// Default and range of the minimum interval between two saves of one kind of state.
const (
	defaultSaveInterval = 2 * time.Second
	minSaveInterval     = 100 * time.Millisecond
	maxSaveInterval     = time.Minute
)

// State configures where the balancer saves the state that a later process restores. Without a folder it saves nothing.
type State struct {
	// Folder is the path of the state folder. Two balancers must not share one.
	Folder string `toml:"folder"`
	// Site identifies the fleet. State that was saved for another site is ignored.
	Site string `toml:"site"`
	// Every is the minimum interval between two saves of one kind of state, from 100 ms to 1 min. It defaults to 2 s.
	Every tomlfile.Duration `toml:"every"`
}

func (s State) validate() error {
	if s.Folder == "" && s != (State{}) {
		return settingErrorf("state.folder", "is required if site or every is set")
	}
	interval := s.Every.D()
	if interval != 0 && (interval < minSaveInterval || interval > maxSaveInterval) {
		return settingErrorf("state.every", "%v is out of range: must be from %v to %v", interval, minSaveInterval, maxSaveInterval)
	}
	return nil
}

// SaveInterval returns the minimum interval between two saves of one kind of state.
func (s State) SaveInterval() time.Duration { return cmp.Or(s.Every.D(), defaultSaveInterval) }
