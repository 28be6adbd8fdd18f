package proxy

import (
	"sprucehill/balancer"
	"sprucehill/internal/discovery"
)

// onEndpointUpdate handles a response of discovery, or the failure of a call.
func (l *loop) onEndpointUpdate(update discovery.Update) {
	l.discovery.Handle(update, l.now(), l)
	l.deliverOutcomes()
}

// OnCallFailed implements discovery.Owner: the decision module schedules the next call.
func (l *loop) OnCallFailed() { l.balancer.OnEndpointUpdate(l.now(), balancer.UpdateFailed, nil) }

// ApplyList implements discovery.Owner. It applies a list, first to the endpoint table and then to the decision module. The module may send
// requests immediately, and the table must be current by then so that none goes to a draining endpoint.
func (l *loop) ApplyList(mode balancer.UpdateMode, list discovery.List) {
	endpoints := l.updateEndpoints(mode, list)
	l.balancer.OnEndpointUpdate(l.now(), mode, endpoints)
	l.deliverOutcomes()
	l.saver.SaveList(mode, list)
	l.publish(l.now())
	l.endpoints.deleteUnused()
	l.endpointIDs.ForgetUnused(len(l.endpoints), func(id balancer.EndpointID) bool { return l.endpoints[id] != nil })
}

// updateEndpoints applies a list to the endpoint table and returns its entries in the form of the decision module.
func (l *loop) updateEndpoints(mode balancer.UpdateMode, list discovery.List) []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, 0, len(list.Members))
	listed := make(map[balancer.EndpointID]bool, len(list.Members))
	for i := range list.Members {
		entry := &list.Members[i]
		endpoint := entry.ToEndpoint(l.endpointIDs.IDOf(entry.ID))
		endpoint.Zone = qualifyZone(l.localities, endpoint.Zone)
		endpoints = append(endpoints, endpoint)
		listed[endpoint.ID] = true
		if known, stale := l.endpoints.update(endpoint, entry.HostPort); stale {
			l.pool.closeIdle(known)
		}
	}
	if mode != balancer.UpdateDelta {
		for _, removed := range l.endpoints.removeUnlisted(listed) {
			l.pool.closeIdle(removed)
		}
	}
	for _, a := range l.endpoints.dropMisdirected() {
		l.postpone(a, balancer.NotSent)
	}
	return endpoints
}
