package membership

import (
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

// String returns the state's name, as in the answer to the management call members and in the log.
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

// Member is what one process publishes about itself. Its text fields have at most 64 bytes, all printable and not blank.
type Member struct {
	Name        string // of the balancer, not empty and without a slash; of the processes of one name the newest is active
	Incarnation uint64 // of the process, at least 1; a later process of the same name has a higher one
	Zone        string // may be empty
	Region      string // may be empty
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

// validate returns an InvalidMemberError on the first invalid field.
func (m Member) validate() error {
	if m.Name == "" {
		return m.invalid("name", "is empty")
	}
	for _, field := range []struct{ name, text string }{
		{"name", m.Name}, {"zone", m.Zone}, {"region", m.Region}, {"version", m.Version},
	} {
		if len(field.text) > maxTextLength {
			return m.invalid(field.name, fmt.Sprintf("%.20q exceeds %d bytes", field.text, maxTextLength))
		}
		if strings.ContainsFunc(field.text, isBlankOrUnprintable) {
			return m.invalid(field.name, fmt.Sprintf("%.20q has blanks or unprintable characters", field.text))
		}
	}
	switch {
	case strings.Contains(m.Name, "/"):
		return m.invalid("name", "contains a slash")
	case m.Incarnation == 0:
		return m.invalid("incarnation", "is 0")
	case int(m.State) >= len(stateNames):
		return m.invalid("state", fmt.Sprintf("%d is unknown", m.State))
	case m.Capacity < 0:
		return m.invalid("capacity", fmt.Sprintf("%d is negative", m.Capacity))
	}
	return nil
}

func (m Member) invalid(field, reason string) error {
	return &InvalidMemberError{Member: m.Name, Field: field, Reason: reason}
}

func isBlankOrUnprintable(r rune) bool { return !unicode.IsGraphic(r) || unicode.IsSpace(r) }
