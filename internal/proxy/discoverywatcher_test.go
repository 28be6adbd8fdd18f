package proxy

import (
	"testing"
)

// An answer with an older revision than the list held is stale, until the service has given one twice: then it has
// restarted its revisions.
func TestStaleEndpointUpdates(t *testing.T) {
	const held, older = 12, 3
	w := newDiscoveryWatcher(t.Context(), "127.0.0.1:1", held)
	w.revision = held
	update := func(revision, began, ended uint64) endpointUpdate {
		return endpointUpdate{list: endpointList{Revision: revision}, from: w.client, began: began, ended: ended}
	}
	w.accept(update(held, 2, 5))
	assertEqual(t, "the same revision", w.isStale(update(held, 6, 7)), false)
	assertEqual(t, "a newer revision", w.isStale(update(held+1, 6, 7)), false)

	overtaken := update(older, 1, 6) // its call began before the accepted answer came
	assertEqual(t, "an overtaken answer", w.isStale(overtaken), true)
	w.ignore(overtaken)
	assertEqual(t, "another overtaken answer", w.isStale(update(older, 3, 7)), true)

	first := update(older, 8, 9)
	assertEqual(t, "the first answer with an older revision", w.isStale(first), true)
	w.ignore(first)
	second := update(older, 10, 11)
	assertEqual(t, "the second answer with an older revision", w.isStale(second), false)
	w.accept(second)
	assertEqual(t, "an older revision after that", w.isStale(update(older-1, 12, 13)), true)
}
