// Package framing checks the HTTP/1.1 framing of client requests on the wire, before net/http parses them.
//
// net/http drops the Content-Length of a request that also has a Transfer-Encoding, and does not report that both were
// present. When the end of a request is ambiguous, two parsers may disagree on which bytes are its body and which the next
// request (request smuggling). So a Conn scans every byte before net/http reads it, and fails the read before the last
// byte of an ambiguous head: net/http never gets a complete one.
//
// A Conn also tracks what net/http does not report: when each request arrived, also while its last byte is unread, whether a
// request has begun on a connection that net/http considers idle, and that a client has disconnected after sending bytes
// that net/http does not read.
//
// A Listener accepts such connections, and can be closed without resetting those in its accept queue.
//
// The package makes no decisions about requests, and passes on the bytes of well-formed ones unchanged.
package framing
