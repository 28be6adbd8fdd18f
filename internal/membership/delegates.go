package membership

import (
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// viewDigestSize is the size of the payload of a probe's ack: the digest of the sender's view, big endian.
const viewDigestSize = 8

var (
	_ memberlist.Delegate      = metaDelegate{}
	_ memberlist.AliveDelegate = aliveDelegate{}
	_ memberlist.EventDelegate = eventDelegate{}
	_ memberlist.PingDelegate  = pingDelegate{}
)

// memberOf decodes and validates what a node of memberlist publishes.
func memberOf(peer *memberlist.Node) (Member, error) {
	m, err := decodeMetadata(peer.Meta)
	if err == nil && m.ProcessID().nodeName() != peer.Name {
		err = fmt.Errorf("%w: node %.80q publishes %s", ErrIdentityMismatch, peer.Name, m.ProcessID().nodeName())
	}
	m.Address = net.JoinHostPort(peer.Addr.String(), strconv.Itoa(int(peer.Port)))
	return m, err
}

// metaDelegate provides this member's metadata. It uses neither user messages nor user state.
type metaDelegate struct{ node *Node }

func (d metaDelegate) NodeMeta(int) []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	encoded, err := encodeMetadata(d.node.self)
	if err != nil { // Start has validated it
		return nil
	}
	return encoded
}

func (d metaDelegate) NotifyMsg([]byte)                { d.node.countRejectedMessage() }
func (d metaDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d metaDelegate) LocalState(bool) []byte          { return nil }
func (d metaDelegate) MergeRemoteState([]byte, bool)   {}

func (n *Node) countRejectedMessage() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejectedMessages++
}

// aliveDelegate rejects nodes with invalid metadata.
type aliveDelegate struct{ node *Node }

func (d aliveDelegate) NotifyAlive(peer *memberlist.Node) error {
	_, err := memberOf(peer)
	if err != nil {
		d.node.countRejectedMessage()
	}
	return err
}

// eventDelegate records in the member table who joins, changes, fails and leaves.
type eventDelegate struct{ node *Node }

func (d eventDelegate) NotifyJoin(peer *memberlist.Node) { d.NotifyUpdate(peer) }

func (d eventDelegate) NotifyUpdate(peer *memberlist.Node) {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	m, err := memberOf(peer)
	if err != nil {
		return
	}
	d.node.table.ObserveAlive(d.node.now(), m)
}

func (d eventDelegate) NotifyLeave(peer *memberlist.Node) {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	m, err := memberOf(peer)
	if err != nil {
		return
	}
	if peer.State == memberlist.StateLeft {
		d.node.table.ObserveLeft(d.node.now(), m.ProcessID())
	} else {
		d.node.table.ObserveFailed(d.node.now(), m.ProcessID())
	}
}

// pingDelegate exchanges view digests on the acks of probes.
type pingDelegate struct{ node *Node }

func (d pingDelegate) AckPayload() []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	return binary.BigEndian.AppendUint64(nil, d.node.table.Digest())
}

func (d pingDelegate) NotifyPingComplete(peer *memberlist.Node, _ time.Duration, payload []byte) {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	m, err := memberOf(peer)
	if err != nil || len(payload) != viewDigestSize {
		return
	}
	d.node.table.RecordAck(d.node.now(), m.ProcessID(), binary.BigEndian.Uint64(payload))
}
