// Package wire implements the simulator's text protocol: the simulator sends batches of events, and gets one reply for
// each, which holds the effects of the decision module.
//
// A batch is a "frame" line, any number of events and numbered endpoint lists, and an "eob" line. Every line holds one
// message: its name and name=value fields, separated by single spaces. An endpoint list is followed by one line for each
// entry. Unknown fields are ignored.
//
// The package also decodes the settings object of the protocol, which is part of a real balancer's configuration too.
//
// Reader and Writer only translate; all decisions are the decision module's. Neither is safe for concurrent use.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"sprucehill/balancer"
)

const (
	// maxLists is the number of endpoint lists that events can refer to; they are numbered from 0.
	maxLists = 16
	// readBufferSize is the size of the read buffer in bytes. Longer lines are allowed, but have to be copied.
	readBufferSize = 1 << 16
	// maxPreallocatedEndpoints bounds what is allocated for a list before its entries have been read: the announced length
	// may be wrong.
	maxPreallocatedEndpoints = 1 << 12
)

// EventKind is the kind of an Event. It determines which fields of the Event are set.
type EventKind uint8

// The kinds of events, with the fields that are set in addition to Kind and Instance.
const (
	KindAttach             EventKind = iota // an instance starts: Seed, Settings
	KindExit                                // an instance ends
	KindEndpointUpdate                      // Mode, and Endpoints unless the mode is balancer.UpdateFailed
	KindRequest                             // Request
	KindStreamStarted                       // Result: ID, Endpoint, Attempt and Latency only
	KindAttemptResult                       // Result
	KindClientDisconnected                  // Request: ID only
	KindTimer                               // TimerToken
	KindHealthCheckResult                   // HealthCheck
	KindInbox                               // a message from another instance; its content is ignored
)

// Event is one event for one instance of the decision module.
type Event struct {
	Kind        EventKind
	Instance    int
	Seed        uint64
	Settings    balancer.Settings
	Mode        balancer.UpdateMode
	Endpoints   []balancer.Endpoint // shared with other events; must not be modified
	Request     balancer.Request
	Result      balancer.AttemptResult
	HealthCheck balancer.HealthCheckResult
	TimerToken  uint64
}

// Batch holds events that happen at the same time, in order.
type Batch struct {
	At     time.Duration // on the simulator's clock
	Serial uint64        // echoed in the reply
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in       *bufio.Reader
	line     int               // number of the current line, from 1
	longLine []byte            // buffer for lines that exceed the read buffer
	interned map[string]string // strings returned by intern
	lists    [maxLists]endpointList
	fields   fields // of the current line
}

// endpointList is a numbered endpoint list. Its zero value is not defined yet.
type endpointList struct {
	defined   bool
	endpoints []balancer.Endpoint
}

// NewReader returns a Reader that reads batches from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferSize), interned: map[string]string{}}
}

// Next reads a batch into b, overwriting its events. It returns io.EOF at the end of input. If the input is malformed, the
// error names the line and, where one is to blame, the field.
func (r *Reader) Next(b *Batch) error {
	line, err := r.readLine()
	if err != nil {
		return err
	}
	if err := r.parseBatchHeader(line, b); err != nil {
		return fmt.Errorf("line %d: %w", r.line, err)
	}
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: end of input in batch %d, without %s", r.line, b.Serial, messageBatchEnd)
		}
		if err != nil {
			return err
		}
		if string(line) == messageBatchEnd {
			return nil
		}
		if err := r.parseMessage(line, b); err != nil {
			return fmt.Errorf("line %d: %w", r.line, err)
		}
	}
}

// readLine returns the next line without its line feed. The slice is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, fmt.Errorf("line %d: truncated: %d bytes without a line feed", r.line+1, len(line))
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		return nil, fmt.Errorf("line %d: %w", r.line+1, err)
	}
	r.line++
	return line[:len(line)-1], nil
}

// readLongLine returns a line of which prefix has filled the read buffer.
func (r *Reader) readLongLine(prefix []byte) ([]byte, error) {
	r.longLine = append(r.longLine[:0], prefix...)
	for {
		part, err := r.in.ReadSlice('\n')
		r.longLine = append(r.longLine, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.longLine, err
		}
	}
}

// parseBatchHeader parses the first line of a batch.
func (r *Reader) parseBatchHeader(line []byte, b *Batch) error {
	f := &r.fields
	name, err := f.parse(line)
	if err != nil {
		return err
	}
	if string(name) != messageBatch {
		return fmt.Errorf("got message %q, want %s", name, messageBatch)
	}
	b.At = f.requiredDuration(fieldTime)
	b.Serial = f.requiredUint(fieldSerial, 64)
	b.Events = b.Events[:0]
	return f.err
}

// parseMessage handles a line within a batch: it appends an event to the batch, and reads an endpoint list to its end.
func (r *Reader) parseMessage(line []byte, b *Batch) error {
	f := &r.fields
	name, err := f.parse(line)
	if err != nil {
		return err
	}
	if string(name) == messageList {
		return r.readList()
	}
	parse, known := eventParsers[string(name)]
	if !known {
		return fmt.Errorf("unknown message %q", name)
	}
	b.Events = append(b.Events, Event{})
	event := &b.Events[len(b.Events)-1]
	parse(r, event)
	event.Instance = int(f.requiredUint(fieldInstance, 31))
	if f.err != nil {
		return fmt.Errorf("%s: %w", name, f.err)
	}
	return nil
}

// readList parses the header of a numbered endpoint list, which is the current line, and reads the lines of its entries.
func (r *Reader) readList() error {
	f := &r.fields
	number := f.requiredUint(fieldListNumber, 31)
	count := f.requiredUint(fieldListLength, 31)
	if f.err == nil && number >= maxLists {
		f.fail(fieldListNumber, fmt.Sprintf("got %d, want 0 to %d", number, maxLists-1))
	}
	if f.err != nil {
		return fmt.Errorf("%s: %w", messageList, f.err)
	}
	endpoints := make([]balancer.Endpoint, 0, min(count, maxPreallocatedEndpoints))
	for range count {
		line, err := r.readLine()
		if err != nil {
			return fmt.Errorf("%s: got %d entries, want %s=%d: %w", messageList, len(endpoints), fieldListLength, count, err)
		}
		name, err := f.parse(line)
		if err != nil {
			return err
		}
		if string(name) != messageListEntry {
			return fmt.Errorf("%s: got %d entries, want %s=%d", messageList, len(endpoints), fieldListLength, count)
		}
		endpoint := r.parseEndpoint()
		if f.err != nil {
			return fmt.Errorf("%s: %w", messageListEntry, f.err)
		}
		endpoints = append(endpoints, endpoint)
	}
	r.lists[number] = endpointList{defined: true, endpoints: endpoints}
	return nil
}

// parseEndpoint parses an entry of an endpoint list.
func (r *Reader) parseEndpoint() balancer.Endpoint {
	f := &r.fields
	return balancer.Endpoint{
		ID:        balancer.EndpointID(f.requiredUint(fieldEndpoint, 32)),
		Cell:      int(f.optionalUint(fieldCell, 62)),
		Zone:      r.intern(f.optional(fieldZone)),
		Weight:    f.optionalFloat(fieldWeight, 1),
		StartedAt: f.optionalDuration(fieldStartedAt),
		State:     f.endpointState(fieldEndpointState),
	}
}

// intern returns b as a string. Equal values share one string, so that a request with known names does not allocate.
func (r *Reader) intern(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if s, ok := r.interned[string(b)]; ok {
		return s
	}
	s := string(b)
	r.interned[s] = s
	return s
}
