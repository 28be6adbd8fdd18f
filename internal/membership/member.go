package membership

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// State is the lifecycle state that a member publishes.
type State uint8

// The states. Their numbers are part of the metadata on the wire.
const (
	Joining  State = iota // started, accepts no clients yet
	Serving               // accepts clients
	Draining              // rejects new clients; may return to Serving
	Leaving               // shutting down
)

var stateNames = []string{"joining", "serving", "draining", "leaving"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// parseState returns the state with a name, or Joining if there is none.
func parseState(name string) State {
	for i, stateName := range stateNames {
		if stateName == name {
			return State(i)
		}
	}
	return Joining
}

// maxTextLength bounds each text field of a member, in bytes.
const maxTextLength = 64

// Member is what one process publishes about itself.
type Member struct {
	Name        string // of the balancer; among the processes of one name the newest counts
	Incarnation uint64 // of the process, at least 1; a later process of the same name has a higher one
	Zone        string
	Region      string
	Version     string // of the program
	State       State
	Capacity    int    // requests per second that it is meant to carry; 0: unknown
	Config      uint64 // digest of its fleet file
	Successor   bool   // it took over the clients' listener from the process before it
	Address     string // host:port at which the transport reaches it; not part of the metadata
}

// ProcessID returns the identity of the member's process.
func (m Member) ProcessID() ProcessID { return ProcessID{Name: m.Name, Incarnation: m.Incarnation} }

// ProcessID identifies one process of a name.
type ProcessID struct {
	Name        string
	Incarnation uint64
}

// nodeName is the name of the process in memberlist. It is unique per process, so that two processes of one name are both
// visible.
func (id ProcessID) nodeName() string { return fmt.Sprintf("%s/%x", id.Name, id.Incarnation) }

// validate returns an error that names the first invalid field.
func (m Member) validate() error {
	if m.Name == "" {
		return errors.New("member has no name")
	}
	for _, field := range []struct{ name, text string }{
		{"name", m.Name}, {"zone", m.Zone}, {"region", m.Region}, {"version", m.Version},
	} {
		if len(field.text) > maxTextLength || strings.ContainsFunc(field.text, isBlankOrUnprintable) {
			return fmt.Errorf("member's %s %.20q has blanks or unprintable characters, or exceeds %d bytes", field.name, field.text, maxTextLength)
		}
	}
	switch {
	case strings.Contains(m.Name, "/"):
		return fmt.Errorf("member's name %.20q contains a slash", m.Name)
	case m.Incarnation == 0:
		return fmt.Errorf("member %s has no incarnation", m.Name)
	case int(m.State) >= len(stateNames):
		return fmt.Errorf("member %s has the unknown state %d", m.Name, m.State)
	case m.Capacity < 0:
		return fmt.Errorf("member %s has the negative capacity %d", m.Name, m.Capacity)
	}
	return nil
}

func isBlankOrUnprintable(r rune) bool { return !unicode.IsGraphic(r) || unicode.IsSpace(r) }
