// Package framing checks the HTTP/1.1 framing of clients' requests, as it stands on the wire, in front of net/http.
//
// net/http drops the Content-Length of a request that also has a Transfer-Encoding, and does not show that both were there.
// Where the end of a request is in doubt, one reader's body is another reader's next request (request smuggling). So a Conn
// scans each byte before net/http reads it, and gives a head in doubt to nobody completely: the reader gets an error.
//
// A Conn also knows what net/http does not report: when each request came, whether a request has begun on a connection that
// net/http takes for idle, and, by reading ahead, that a client disconnects behind bytes that nobody reads.
//
// A Listener accepts such connections, and can be closed without resetting those that wait in its queue.
//
// The package decides nothing about requests. It passes on the bytes of proper ones unchanged.
package framing
