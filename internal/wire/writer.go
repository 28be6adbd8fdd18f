package wire

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"sprucehill/balancer"
)

// Writer collects the actions of one reply and writes it as a whole.
type Writer struct {
	out io.Writer
	buf []byte
}

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// Done ends the reply to the batch of a serial number and writes it out.
func (w *Writer) Done(serial uint64) error {
	w.buf = append(w.buf, messageDone...)
	w.buf = appendName(w.buf, fieldSerial)
	w.buf = strconv.AppendUint(w.buf, serial, 10)
	w.buf = append(w.buf, '\n')
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}

// ActionWriter writes the actions of one instance of the decision module to a reply.
type ActionWriter struct {
	w        *Writer
	instance []byte // the field that names it, with a space before
}

// NewActionWriter returns the ActionWriter of an instance.
func NewActionWriter(w *Writer, instance int) *ActionWriter {
	field := strconv.AppendInt(appendName(nil, fieldInstance), int64(instance), 10)
	return &ActionWriter{w: w, instance: field}
}

var _ balancer.Effects = (*ActionWriter)(nil)

// appendName appends the beginning of a field up to its value.
func appendName(buf []byte, name string) []byte {
	buf = append(buf, ' ')
	buf = append(buf, name...)
	return append(buf, '=')
}

// begin starts a message. The methods below add fields to it.
func (a *ActionWriter) begin(message string) {
	a.w.buf = append(a.w.buf, message...)
	a.w.buf = append(a.w.buf, a.instance...)
}

// end ends a message.
func (a *ActionWriter) end() { a.w.buf = append(a.w.buf, '\n') }

func (a *ActionWriter) uintField(name string, value uint64) {
	a.w.buf = appendName(a.w.buf, name)
	a.w.buf = strconv.AppendUint(a.w.buf, value, 10)
}

// durationField adds a duration in microseconds, or nothing if it is 0.
func (a *ActionWriter) durationField(name string, d time.Duration) {
	if d == 0 {
		return
	}
	a.w.buf = appendName(a.w.buf, name)
	a.w.buf = strconv.AppendInt(a.w.buf, d.Microseconds(), 10)
}

// requestField adds a request's identifier.
func (a *ActionWriter) requestField(id balancer.RequestID) {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(id))
	a.w.buf = appendName(a.w.buf, fieldRequestID)
	a.w.buf = hex.AppendEncode(a.w.buf, bytes[:])
}

// textField adds text as one line.
func (a *ActionWriter) textField(name, text string) {
	a.w.buf = appendName(a.w.buf, name)
	a.w.buf = append(a.w.buf, strings.Join(strings.Fields(text), " ")...)
}

// Send writes that an attempt is to be sent to an endpoint. A timeout of 0 is left out.
func (a *ActionWriter) Send(id balancer.RequestID, endpoint balancer.EndpointID, timeout time.Duration) {
	a.begin(messageSend)
	a.requestField(id)
	a.uintField(fieldEndpoint, uint64(endpoint))
	a.durationField(fieldAttemptTimeout, timeout)
	a.end()
}

// Reject writes that a request is rejected. A retryAfter of 0 is left out.
func (a *ActionWriter) Reject(id balancer.RequestID, retryAfter time.Duration) {
	a.begin(messageReject)
	a.requestField(id)
	a.durationField(fieldRetryAfter, retryAfter)
	a.end()
}

// Fail writes that a request has failed.
func (a *ActionWriter) Fail(id balancer.RequestID) {
	a.begin(messageFail)
	a.requestField(id)
	a.end()
}

// Cancel writes that the response to an attempt is no longer waited for.
func (a *ActionWriter) Cancel(id balancer.RequestID, attempt int) {
	a.begin(messageCancel)
	a.requestField(id)
	a.uintField(fieldAttempt, uint64(attempt))
	a.end()
}

// HealthCheck writes that an endpoint is to be checked.
func (a *ActionWriter) HealthCheck(endpoint balancer.EndpointID) {
	a.begin(messageHealthCheck)
	a.uintField(fieldEndpoint, uint64(endpoint))
	a.end()
}

// CloseIdle writes that idle connections to an endpoint are to be closed.
func (a *ActionWriter) CloseIdle(endpoint balancer.EndpointID) {
	a.begin(messageCloseIdle)
	a.uintField(fieldEndpoint, uint64(endpoint))
	a.end()
}

// WatchEndpoints writes a subscription to discovery.
func (a *ActionWriter) WatchEndpoints() {
	a.begin(messageWatchEndpoints)
	a.uintField(fieldWatching, 1)
	a.end()
}

// UnwatchEndpoints writes the end of a subscription to discovery.
func (a *ActionWriter) UnwatchEndpoints() {
	a.begin(messageWatchEndpoints)
	a.uintField(fieldWatching, 0)
	a.end()
}

// FetchEndpoints writes a request for the complete endpoint list.
func (a *ActionWriter) FetchEndpoints() {
	a.begin(messageFetchEndpoints)
	a.end()
}

// SetTimer writes that a timer is to fire. A negative delay counts as 0.
func (a *ActionWriter) SetTimer(after time.Duration, token uint64) {
	a.begin(messageSetTimer)
	a.uintField(fieldTimerDelay, uint64(max(after, 0).Microseconds()))
	a.uintField(fieldTimerToken, token)
	a.end()
}

// Log writes an event as a log line.
func (a *ActionWriter) Log(event balancer.LogEvent) {
	a.begin(messageLog)
	a.textField(fieldText, logText(event))
	a.end()
}

// Crash writes that the decision module has panicked or refused its settings.
func (a *ActionWriter) Crash(text string) {
	a.begin(messageCrash)
	a.textField(fieldText, text)
	a.end()
}
