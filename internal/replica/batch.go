package replica

import (
	"errors"
	"fmt"
	"slices"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	batchVersion    = 1
	maxAddrBytes    = 256
	maxQueuedBytes  = 16 << 20  // of received batches
	maxBatchBytes   = 768 << 10 // of messages in one batch without a snapshot
	messageOverhead = 128       // estimated encoded size of a message or entry without its data
	maxAddresses    = 1024
)

// discoveryKind is the kind of a discovery message. Hosts exchange these messages outside of consensus to
// bootstrap a group and to join one.
type discoveryKind uint8

const (
	discoveryNone     discoveryKind = iota
	discoveryQuery                  // asks whether the receiver has ever belonged to a group
	discoveryReply                  // answers discoveryQuery
	discoveryJoin                   // asks the leader to be added
	discoveryRedirect               // tells a host that asked to be added the leader's address
)

// envelope is the decoded content of a batch: consensus messages or a discovery message.
type envelope struct {
	Version       uint8               `cbor:"1,keyasint"`
	From          Member              `cbor:"2,keyasint"`
	Messages      []consensus.Message `cbor:"3,keyasint,omitempty"`
	Discovery     discoveryKind       `cbor:"4,keyasint,omitempty"`
	Joined        bool                `cbor:"5,keyasint,omitempty"` // the sender belongs, or has belonged, to a group
	Bootstrapping bool                `cbor:"6,keyasint,omitempty"` // the sender is trying to bootstrap a group
	Leader        string              `cbor:"7,keyasint,omitempty"` // address of the leader, with discoveryRedirect
}

var errBadBatch = errors.New("malformed batch")

// decodeBatch decodes and validates a batch from the network.
func decodeBatch(batch []byte) (envelope, error) {
	var e envelope
	if len(batch) > wire.MaxSnapshotBytes {
		return e, fmt.Errorf("batch of %d bytes: %w", len(batch), wire.ErrTooLarge)
	}
	if err := wire.Unmarshal(batch, &e); err != nil {
		return envelope{}, fmt.Errorf("decode batch: %w", err)
	}
	if e.Version != batchVersion || e.From.ID == 0 || len(e.From.Addr) > maxAddrBytes || e.Discovery > discoveryRedirect {
		return envelope{}, fmt.Errorf("%w: version %d, member %x, address of %d bytes, discovery message of kind %d",
			errBadBatch, e.Version, e.From.ID, len(e.From.Addr), e.Discovery)
	}
	for _, m := range e.Messages {
		if m.From != e.From.ID {
			return envelope{}, fmt.Errorf("%w: message from member %x in a batch of member %x", errBadBatch, m.From, e.From.ID)
		}
	}
	return e, nil
}

// Receive queues a batch from a peer. It drops a batch that is malformed or would make the queue exceed
// maxQueuedBytes; consensus and discovery tolerate lost messages and resend what is still needed.
func (r *Replica) Receive(batch []byte) {
	e, err := decodeBatch(batch)
	if err != nil {
		_ = r.cfg.Logger.Log("msg", "batch dropped", "err", err)
		return
	}
	_ = r.enqueue(func(in *inputs) {
		if in.batchBytes+len(batch) > maxQueuedBytes {
			return
		}
		in.batchBytes += len(batch)
		in.batches = append(in.batches, e)
	})
}

// handleBatch passes the messages of a batch to consensus, or handles its discovery message. An error means
// that the member must stop.
func (r *Replica) handleBatch(e envelope) error {
	if len(r.addresses) >= maxAddresses {
		clear(r.addresses)
	}
	r.addresses[e.From.ID] = e.From.Addr
	if e.Discovery != discoveryNone {
		return r.handleDiscovery(e)
	}
	for _, m := range e.Messages {
		err := r.node.Step(m)
		if err != nil && !errors.Is(err, consensus.ErrWrongMember) {
			_ = r.cfg.Logger.Log("msg", "message refused", "from", fmt.Sprintf("%x", m.From), "err", err)
		}
	}
	return nil
}

// send groups messages by receiver and sends them in batches.
func (r *Replica) send(messages []consensus.Message) {
	var order []uint64
	byReceiver := map[uint64][]consensus.Message{}
	for _, m := range messages {
		if !slices.Contains(order, m.To) {
			order = append(order, m.To)
		}
		byReceiver[m.To] = append(byReceiver[m.To], m)
	}
	for _, id := range order {
		r.sendTo(id, byReceiver[id])
	}
}

// sendTo sends messages to one member in batches of about maxBatchBytes. A snapshot is sent in a batch
// of its own.
func (r *Replica) sendTo(id uint64, messages []consensus.Message) {
	to := r.memberByID(id, r.node.Status().Members)
	start, size := 0, 0
	for i, m := range messages {
		n := messageBytes(m)
		if i > start && size+n > maxBatchBytes {
			r.sendEnvelope(to, envelope{Messages: messages[start:i]})
			start, size = i, 0
		}
		size += n
	}
	r.sendEnvelope(to, envelope{Messages: messages[start:]})
}

// messageBytes estimates the encoded size of a message. A message with a snapshot counts as at least a
// full batch.
func messageBytes(m consensus.Message) int {
	n := messageOverhead
	for _, e := range m.Entries {
		n += len(e.Data) + messageOverhead
	}
	if m.Snapshot != nil {
		n += maxBatchBytes
	}
	return n
}

func (r *Replica) sendEnvelope(to Member, e envelope) {
	if to.Addr == "" {
		return
	}
	e.Version = batchVersion
	e.From = Member{ID: r.id, Addr: r.cfg.Addr}
	batch, err := wire.Marshal(e)
	if err == nil && len(batch) > wire.MaxSnapshotBytes {
		err = wire.ErrTooLarge
	}
	if err != nil {
		_ = r.cfg.Logger.Log("msg", "batch not sent", "to", to.Addr, "err", err)
		return
	}
	r.peers.Send(to, batch)
}
