// Package wire implements the simulator's text protocol: batches of events come in, and one reply of actions goes out
// for each.
//
// A batch is a line "frame", any number of lines that each hold an event or a numbered endpoint list, and a line "eob".
// Every line is a message name and name=value fields, separated by single spaces. Fields that this package does not
// know are ignored.
//
// Reader and Writer translate and decide nothing. Each is for one goroutine.
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
	// maxLists is how many numbered endpoint lists the protocol has.
	maxLists = 16
	// readBufferSize is the size in bytes of the read buffer. Longer lines are allowed and cost a copy.
	readBufferSize = 1 << 16
	// maxPreallocatedEndpoints bounds what is allocated for a list on the word of its count alone.
	maxPreallocatedEndpoints = 1 << 12
)

// EventKind says what an Event is, and so which of its fields are set.
type EventKind uint8

// The kinds of events, with the fields that are set beside Kind and Instance.
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
	KindInbox                               // a message of another instance, whose content is ignored
)

// Event is one event for one instance of the decision module.
type Event struct {
	Kind        EventKind
	Instance    int
	Seed        uint64
	Settings    balancer.Settings
	Mode        balancer.UpdateMode
	Endpoints   []balancer.Endpoint // shared with other events: not to be changed
	Request     balancer.Request
	Result      balancer.AttemptResult
	HealthCheck balancer.HealthCheckResult
	TimerToken  uint64
}

// Batch is the events of one moment.
type Batch struct {
	At     time.Duration // on the simulator's clock
	Serial uint64        // to be repeated in the reply
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in       *bufio.Reader
	line     int    // number of the line that was read last, from 1
	longLine []byte // buffer for lines that exceed the read buffer
	interned map[string]string
	lists    [maxLists]endpointList
	fields   fields // of the current line
}

// endpointList is a numbered list that events refer to.
type endpointList struct {
	defined   bool
	endpoints []balancer.Endpoint
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferSize), interned: map[string]string{}}
}

// Next reads a batch into b and overwrites its events. It returns io.EOF at the end of input, and an error that names
// line and field if the input is malformed.
func (r *Reader) Next(b *Batch) error {
	line, err := r.readLine()
	if err != nil {
		return err
	}
	if err := r.parseFrame(line, b); err != nil {
		return fmt.Errorf("line %d: %w", r.line, err)
	}
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: batch %d ends without %s", r.line, b.Serial, messageBatchEnd)
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

// readLine returns the next line without its end. The slice is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, fmt.Errorf("line %d: cut short", r.line+1)
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		return nil, fmt.Errorf("line %d: %w", r.line+1, err)
	}
	r.line++
	return line[:len(line)-1], nil
}

// readLongLine reads the rest of a line whose beginning filled the read buffer.
func (r *Reader) readLongLine(beginning []byte) ([]byte, error) {
	r.longLine = append(r.longLine[:0], beginning...)
	for {
		part, err := r.in.ReadSlice('\n')
		r.longLine = append(r.longLine, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.longLine, err
		}
	}
}

// parseFrame parses the first line of a batch.
func (r *Reader) parseFrame(line []byte, b *Batch) error {
	f := &r.fields
	name, err := f.parse(line)
	if err != nil {
		return err
	}
	if string(name) != messageBatch {
		return fmt.Errorf("message %q where %s was expected", name, messageBatch)
	}
	b.At = f.requiredDuration(fieldTime)
	b.Serial = f.requiredUint(fieldSerial, 64)
	b.Events = b.Events[:0]
	return f.err
}

// parseMessage parses a line within a batch: an event, which it appends to the batch, or an endpoint list, which it
// reads to its end.
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

// readList parses the head of a numbered endpoint list, which is the current line, and reads its entries.
func (r *Reader) readList() error {
	f := &r.fields
	number := f.requiredUint(fieldListNumber, 31)
	count := f.requiredUint(fieldListLength, 31)
	if f.err == nil && number >= maxLists {
		f.fail(fieldListNumber, "out of range")
	}
	if f.err != nil {
		return fmt.Errorf("%s: %w", messageList, f.err)
	}
	endpoints := make([]balancer.Endpoint, 0, min(count, maxPreallocatedEndpoints))
	for range count {
		line, err := r.readLine()
		if err != nil {
			return fmt.Errorf("%s: %s=%d, but %d follow: %w", messageList, fieldListLength, count, len(endpoints), err)
		}
		name, err := f.parse(line)
		if err != nil {
			return err
		}
		if string(name) != messageListEntry {
			return fmt.Errorf("%s: %s=%d, but %d follow", messageList, fieldListLength, count, len(endpoints))
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

// intern returns b as a string. Equal values share one string, so that requests allocate none.
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
