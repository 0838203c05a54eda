package members

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

const mostBody = 208 // bytes of a message that introduces members, as of any other

// RestNews is how many members a node may still tell of, in the mean, in a fleet at rest.
const RestNews = 0.1

// Resting measures a fleet whose members were introduced to each other, over so many periods: at rest, once all know the
// same and tell each other nothing new, or else once they know each other. CPU and memory are left out.
func Resting(ctx context.Context, o Options, atRest bool, periods float64) (r Rest, err error) {
	w := New(o)
	w.introduce()
	for limit := w.Now + 1000*w.Period; ; {
		w.Run(w.Now + w.Period)
		if err := ctx.Err(); err != nil {
			return r, err
		}
		if _, agree := w.Agree(); agree && (!atRest || w.same() && w.news() <= RestNews*float64(o.Nodes)) {
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
	return Rest{Messages: float64(messages) / per, Bytes: float64(bytes) / per}, nil
}

// introduce tells every member of all others.
func (w *World) introduce() {
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

// same tells whether all nodes know the same.
func (w *World) same() bool {
	for _, x := range w.nodes {
		if x.Digest() != w.nodes[0].Digest() {
			return false
		}
	}
	return true
}

// news is how many members all nodes together still tell of.
func (w *World) news() (n float64) {
	for _, x := range w.nodes {
		n += float64(x.News())
	}
	return n
}
