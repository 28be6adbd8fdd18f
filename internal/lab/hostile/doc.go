// Package hostile has clients that use a balancer in ways that cost it memory, processor time or correctness: heads of very
// many fields, uploads that stop, floods on one connection, bytes behind a request, repeated request IDs. Tests and the soak
// run them against real processes over loopback, beside clients with a light load whose answers are measured.
//
// Every call is bounded in time by its context or by the deadline that it is given.
package hostile
