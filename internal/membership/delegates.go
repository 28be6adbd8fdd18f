package membership

import (
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// viewDigestSize is the size in bytes of the payload of a probe's ack: the digest of the sender's view, in big endian.
const viewDigestSize = 8

var (
	_ memberlist.Delegate      = metadataDelegate{}
	_ memberlist.AliveDelegate = aliveDelegate{}
	_ memberlist.EventDelegate = eventDelegate{}
	_ memberlist.PingDelegate  = pingDelegate{}
)

// memberFromNode decodes and validates the metadata that a memberlist node publishes.
func memberFromNode(peer *memberlist.Node) (Member, error) {
	m, err := decodeMetadata(peer.Meta)
	if err == nil && m.ProcessID().nodeName() != peer.Name {
		err = fmt.Errorf("%w: node %.80q publishes %s", ErrIdentityMismatch, peer.Name, m.ProcessID().nodeName())
	}
	m.Address = net.JoinHostPort(peer.Addr.String(), strconv.Itoa(int(peer.Port)))
	return m, err
}

// metadataDelegate provides this member's metadata. Memberlist's user messages and user state are not used.
type metadataDelegate struct{ node *Node }

func (d metadataDelegate) NodeMeta(int) []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	encoded, err := encodeMetadata(d.node.self)
	if err != nil { // can't happen: Start has validated the member
		return nil
	}
	return encoded
}

func (d metadataDelegate) NotifyMsg([]byte)                { d.node.countRejectedMessage() }
func (d metadataDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d metadataDelegate) LocalState(bool) []byte          { return nil }
func (d metadataDelegate) MergeRemoteState([]byte, bool)   {}

func (n *Node) countRejectedMessage() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejectedMessages++
}

// aliveDelegate rejects and counts nodes with invalid metadata.
type aliveDelegate struct{ node *Node }

func (d aliveDelegate) NotifyAlive(peer *memberlist.Node) error {
	_, err := memberFromNode(peer)
	if err != nil {
		d.node.countRejectedMessage()
	}
	return err
}

// eventDelegate records in the member table which members join, change, fail and leave.
type eventDelegate struct{ node *Node }

func (d eventDelegate) NotifyJoin(peer *memberlist.Node) { d.NotifyUpdate(peer) }

func (d eventDelegate) NotifyUpdate(peer *memberlist.Node) {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	m, err := memberFromNode(peer)
	if err != nil {
		return
	}
	d.node.table.ObserveAlive(d.node.now(), m)
}

func (d eventDelegate) NotifyLeave(peer *memberlist.Node) {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	m, err := memberFromNode(peer)
	if err != nil {
		return
	}
	if peer.State == memberlist.StateLeft {
		d.node.table.ObserveLeft(d.node.now(), m.ProcessID())
	} else {
		d.node.table.ObserveFailed(d.node.now(), m.ProcessID())
	}
}

// pingDelegate exchanges view digests in the payloads of probes' acks.
type pingDelegate struct{ node *Node }

func (d pingDelegate) AckPayload() []byte {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	return binary.BigEndian.AppendUint64(nil, d.node.table.Digest())
}

func (d pingDelegate) NotifyPingComplete(peer *memberlist.Node, _ time.Duration, payload []byte) {
	d.node.mu.Lock()
	defer d.node.mu.Unlock()
	m, err := memberFromNode(peer)
	if err != nil || len(payload) != viewDigestSize {
		return
	}
	d.node.table.RecordAck(d.node.now(), m.ProcessID(), binary.BigEndian.Uint64(payload))
}
