package claims

import (
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/wheatseam/wheatseam/core/claim"
	"github.com/wheatseam/wheatseam/wire"
)

// errMalformed is returned for a message that has a field of a wrong length, no
// record, or an owner that is not the sender.
var errMalformed = errors.New("malformed claim message")

// scopeSeparator separates customer and stage in the customer field of a claim
// key, since a key is claimed separately for each stage.
const scopeSeparator = "\x00"

func scopedCustomer(customer, stage string) string { return customer + scopeSeparator + stage }

func encodeKey(k claim.Key) *wire.ClaimKey {
	return &wire.ClaimKey{Customer: k.Customer, Id: k.ID[:]}
}

func decodeKey(k *wire.ClaimKey) (claim.Key, error) {
	id, err := uuid.FromBytes(k.GetId())
	if err != nil {
		return claim.Key{}, errMalformed
	}
	return claim.Key{Customer: k.GetCustomer(), ID: id}, nil
}

func encodeOwner(o claim.Owner) *wire.ClaimOwner {
	return &wire.ClaimOwner{Host: o.Host, Incarnation: o.Incarnation, Request: o.Request}
}

func decodeOwner(o *wire.ClaimOwner) claim.Owner {
	return claim.Owner{Host: o.GetHost(), Incarnation: o.GetIncarnation(), Request: o.GetRequest()}
}

// decodeDigest accepts an empty digest, since some replies have none.
func decodeDigest(b []byte) (claim.Digest, error) {
	if len(b) == 0 {
		return claim.Digest{}, nil
	}
	if len(b) != len(claim.Digest{}) {
		return claim.Digest{}, errMalformed
	}
	return claim.Digest(b), nil
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func decodeTime(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us)
}

func encodeAcquire(a claim.Acquire) *wire.ClaimAsk {
	return &wire.ClaimAsk{
		Key: encodeKey(a.Key), Owner: encodeOwner(a.Owner), Digest: a.Digest[:],
		Round: a.Round, Epoch: a.Epoch, ArrivedUnixUs: encodeTime(a.Arrived),
	}
}

func decodeAcquire(m *wire.ClaimAsk) (claim.Acquire, error) {
	key, err := decodeKey(m.Key)
	if err != nil {
		return claim.Acquire{}, err
	}
	digest, err := decodeDigest(m.Digest)
	if err != nil {
		return claim.Acquire{}, err
	}
	return claim.Acquire{
		Key: key, Owner: decodeOwner(m.Owner), Digest: digest,
		Round: m.Round, Epoch: m.Epoch, Arrived: decodeTime(m.ArrivedUnixUs),
	}, nil
}

func encodeRecord(r *claim.Record) *wire.ClaimRecord {
	if r == nil {
		return nil
	}
	return &wire.ClaimRecord{Digest: r.Digest[:], Result: r.Result, Truncated: r.Truncated}
}

func decodeRecord(r *wire.ClaimRecord) (*claim.Record, error) {
	if r == nil {
		return nil, nil
	}
	digest, err := decodeDigest(r.Digest)
	if err != nil {
		return nil, err
	}
	return &claim.Record{Digest: digest, Result: r.Result, Truncated: r.Truncated}, nil
}

func encodeReply(r claim.Reply) *wire.ClaimReply {
	return &wire.ClaimReply{
		Incarnation: r.Incarnation, Verdict: uint32(r.Verdict), Round: r.Round, Epoch: r.Epoch,
		Owner: encodeOwner(r.Owner), Digest: r.Digest[:], Record: encodeRecord(r.Record),
	}
}

// decodeReply takes the holder's name from the host that was called, which TLS
// has verified, and not from the message.
func decodeReply(holder string, m *wire.ClaimReply) (claim.Reply, error) {
	digest, err := decodeDigest(m.Digest)
	if err != nil {
		return claim.Reply{}, err
	}
	record, err := decodeRecord(m.Record)
	if err != nil {
		return claim.Reply{}, err
	}
	return claim.Reply{
		Holder: holder, Incarnation: m.Incarnation, Verdict: claim.Verdict(m.Verdict),
		Round: m.Round, Epoch: m.Epoch, Owner: decodeOwner(m.Owner), Digest: digest, Record: record,
	}, nil
}

func encodeAck(host string, a claim.Ack) *wire.ClaimAck {
	m := &wire.ClaimAck{Host: host, Incarnation: a.Incarnation}
	for _, ad := range a.Adopted {
		m.Adopted = append(m.Adopted, &wire.ClaimAdoption{Epoch: ad.Epoch, AtUnixUs: encodeTime(ad.At)})
	}
	return m
}

func decodeAck(m *wire.ClaimAck) claim.Ack {
	a := claim.Ack{Incarnation: m.GetIncarnation()}
	for _, ad := range m.GetAdopted() {
		a.Adopted = append(a.Adopted, claim.Adoption{Epoch: ad.Epoch, At: decodeTime(ad.AtUnixUs)})
	}
	return a
}

func encodeStatus(s claim.Status, complete bool) *wire.ClaimStatus {
	m := &wire.ClaimStatus{
		Own: encodeAck(s.Host, s.Ack), Synced: s.Synced, Fingerprint: fingerprint(s), Complete: complete,
	}
	if !complete {
		return m
	}
	for host, inc := range s.Incarnations {
		m.Incarnations = append(m.Incarnations, &wire.ClaimIncarnation{Host: host, Incarnation: inc})
	}
	for host, a := range s.Relayed {
		m.Relayed = append(m.Relayed, encodeAck(host, a))
	}
	return m
}

func decodeStatus(host string, m *wire.ClaimStatus) claim.Status {
	s := claim.Status{
		Host: host, Ack: decodeAck(m.Own), Synced: m.Synced,
		Incarnations: make(map[string]uint64), Relayed: make(map[string]claim.Ack),
	}
	for _, i := range m.Incarnations {
		s.Incarnations[i.Host] = i.Incarnation
	}
	for _, a := range m.Relayed {
		s.Relayed[a.Host] = decodeAck(a)
	}
	return s
}
