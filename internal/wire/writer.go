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

// Writer buffers the effects of one reply and writes the reply with a single call. It is not safe for concurrent use.
type Writer struct {
	out io.Writer
	buf []byte
}

// NewWriter returns a Writer that writes replies to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// EndReply ends the reply to the batch with the given serial number and writes it out.
func (w *Writer) EndReply(serial uint64) error {
	w.buf = append(w.buf, messageDone...)
	w.buf = appendFieldName(w.buf, fieldSerial)
	w.buf = strconv.AppendUint(w.buf, serial, 10)
	w.buf = append(w.buf, '\n')
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}

// EffectWriter implements balancer.Effects for one instance of the decision module: each effect becomes a message of the
// reply.
type EffectWriter struct {
	reply    *Writer
	instance []byte // the instance field, which follows the name of every message
}

// NewEffectWriter returns an EffectWriter for the instance with the given number.
func NewEffectWriter(w *Writer, instance int) *EffectWriter {
	field := strconv.AppendInt(appendFieldName(nil, fieldInstance), int64(instance), 10)
	return &EffectWriter{reply: w, instance: field}
}

var _ balancer.Effects = (*EffectWriter)(nil)

// appendFieldName appends a space, the name of a field and the equals sign before its value.
func appendFieldName(buf []byte, name string) []byte {
	buf = append(buf, ' ')
	buf = append(buf, name...)
	return append(buf, '=')
}

// begin starts a message with its name and the instance field.
func (e *EffectWriter) begin(message string) {
	e.reply.buf = append(e.reply.buf, message...)
	e.reply.buf = append(e.reply.buf, e.instance...)
}

// end ends a message.
func (e *EffectWriter) end() { e.reply.buf = append(e.reply.buf, '\n') }

func (e *EffectWriter) uintField(name string, value uint64) {
	e.reply.buf = appendFieldName(e.reply.buf, name)
	e.reply.buf = strconv.AppendUint(e.reply.buf, value, 10)
}

// durationField adds a duration in microseconds. A duration of 0 is omitted.
func (e *EffectWriter) durationField(name string, d time.Duration) {
	if d == 0 {
		return
	}
	e.reply.buf = appendFieldName(e.reply.buf, name)
	e.reply.buf = strconv.AppendInt(e.reply.buf, d.Microseconds(), 10)
}

// requestField adds the ID of a request in 16 hexadecimal digits.
func (e *EffectWriter) requestField(id balancer.RequestID) {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(id))
	e.reply.buf = appendFieldName(e.reply.buf, fieldRequestID)
	e.reply.buf = hex.AppendEncode(e.reply.buf, bytes[:])
}

// textField adds free text. Each run of white space, line feeds included, becomes one space: a message is a single line.
func (e *EffectWriter) textField(name, text string) {
	e.reply.buf = appendFieldName(e.reply.buf, name)
	e.reply.buf = append(e.reply.buf, strings.Join(strings.Fields(text), " ")...)
}

// Send writes that an attempt is to be sent to an endpoint. A timeout of 0 is omitted.
func (e *EffectWriter) Send(id balancer.RequestID, endpoint balancer.EndpointID, timeout time.Duration) {
	e.begin(messageSend)
	e.requestField(id)
	e.uintField(fieldEndpoint, uint64(endpoint))
	e.durationField(fieldAttemptTimeout, timeout)
	e.end()
}

// Reject writes that a request is rejected. A retryAfter of 0 is omitted.
func (e *EffectWriter) Reject(id balancer.RequestID, retryAfter time.Duration) {
	e.begin(messageReject)
	e.requestField(id)
	e.durationField(fieldRetryAfter, retryAfter)
	e.end()
}

// Fail writes that a request has failed.
func (e *EffectWriter) Fail(id balancer.RequestID) {
	e.begin(messageFail)
	e.requestField(id)
	e.end()
}

// Cancel writes that an attempt is cancelled: its response is no longer needed.
func (e *EffectWriter) Cancel(id balancer.RequestID, attempt int) {
	e.begin(messageCancel)
	e.requestField(id)
	e.uintField(fieldAttempt, uint64(attempt))
	e.end()
}

// HealthCheck writes that a health check is to be sent to an endpoint.
func (e *EffectWriter) HealthCheck(endpoint balancer.EndpointID) {
	e.begin(messageHealthCheck)
	e.uintField(fieldEndpoint, uint64(endpoint))
	e.end()
}

// CloseIdle writes that idle connections to an endpoint are to be closed.
func (e *EffectWriter) CloseIdle(endpoint balancer.EndpointID) {
	e.begin(messageCloseIdle)
	e.uintField(fieldEndpoint, uint64(endpoint))
	e.end()
}

// WatchEndpoints writes a subscription to discovery.
func (e *EffectWriter) WatchEndpoints() {
	e.begin(messageWatchEndpoints)
	e.uintField(fieldWatching, 1)
	e.end()
}

// UnwatchEndpoints writes the end of a subscription to discovery.
func (e *EffectWriter) UnwatchEndpoints() {
	e.begin(messageWatchEndpoints)
	e.uintField(fieldWatching, 0)
	e.end()
}

// FetchEndpoints writes a request for the complete endpoint list.
func (e *EffectWriter) FetchEndpoints() {
	e.begin(messageFetchEndpoints)
	e.end()
}

// SetTimer writes that a timer with the given token is to fire after a delay. A negative delay counts as 0.
func (e *EffectWriter) SetTimer(after time.Duration, token uint64) {
	e.begin(messageSetTimer)
	e.uintField(fieldTimerDelay, uint64(max(after, 0).Microseconds()))
	e.uintField(fieldTimerToken, token)
	e.end()
}

// Log writes an event as a log line.
func (e *EffectWriter) Log(event balancer.LogEvent) {
	e.begin(messageLog)
	e.textField(fieldText, logText(event))
	e.end()
}

// Crash writes that the instance has panicked or rejected its settings.
func (e *EffectWriter) Crash(text string) {
	e.begin(messageCrash)
	e.textField(fieldText, text)
	e.end()
}
