package members

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

const mostBody = 208 // bytes of a message that introduces members, as of any other

// MaxIdlePendingUpdates is how many members a node may still tell of, in the mean, in a fleet at rest.
const MaxIdlePendingUpdates = 0.1

// MeasureIntroduced measures a fleet whose members were introduced to each other, over so many periods: at rest, once all know the
// same and tell each other nothing new, or else once they know each other. CPU and memory are left out.
func MeasureIntroduced(ctx context.Context, o Options, atRest bool, periods float64) (r IdleCost, err error) {
	w := New(o)
	w.introduce()
	for limit := w.Now + 1000*w.Period; ; {
		w.Run(w.Now + w.Period)
		if err := ctx.Err(); err != nil {
			return r, err
		}
		if _, agree := w.Agreement(); agree && (!atRest || w.sameDigests() && w.pendingUpdates() <= MaxIdlePendingUpdates*float64(o.Nodes)) {
			break
		}
		if w.Now > limit {
			return r, errors.New("the members have not come to rest on the virtual clock")
		}
	}
	bytes, messages := 0, 0
	for i := range w.Bytes {
		bytes, messages = bytes-w.Bytes[i], messages-w.Messages[i]
	}
	for range int(periods) {
		w.Run(w.Now + w.Period)
		if err := ctx.Err(); err != nil {
			return r, err
		}
	}
	for i := range w.Bytes {
		bytes, messages = bytes+w.Bytes[i], messages+w.Messages[i]
	}
	per := float64(o.Nodes) * float64(int(periods)) * w.Period
	return IdleCost{Messages: float64(messages) / per, Bytes: float64(bytes) / per}, nil
}

// introduce tells every member of all others.
func (w *Simulation) introduce() {
	var message *wire.Message
	tell := func() {
		if message == nil {
			return
		}
		for i := range w.nodes {
			w.Inject(i, message)
		}
	}
	for _, n := range w.nodes {
		self := n.Self()
		u := &wire.Update{Name: self.Name, Start: self.Start, Incarnation: self.Incarnation, Address: self.Address, Zone: self.Zone,
			Build: self.Build, Ready: self.Ready}
		if message == nil || proto.Size(message)+proto.Size(u)+3 > mostBody {
			tell()
			message = &wire.Message{Kind: wire.Message_STATE, From: "introducer", Start: 1}
		}
		message.Updates = append(message.Updates, u)
	}
	tell()
}

// sameDigests tells whether all nodes know the same.
func (w *Simulation) sameDigests() bool {
	for _, x := range w.nodes {
		if x.Digest() != w.nodes[0].Digest() {
			return false
		}
	}
	return true
}

// pendingUpdates is how many members all nodes together still tell of.
func (w *Simulation) pendingUpdates() (n float64) {
	for _, x := range w.nodes {
		n += float64(x.PendingUpdates())
	}
	return n
}
