package sockets

import (
	"time"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

// perform carries out one effect; false says that it was the last.
func (d *door) perform(e node.Effect) bool {
	switch e := e.(type) {
	case node.Read:
		l := d.links[e.Conn]
		if l.halted {
			l.halted = false
			l.socket.SetReadDeadline(time.Time{})
		}
		l.reads <- e.Into
	case node.Write:
		if n, failed, whole := d.links[e.Conn].write(e.Data); whole {
			d.next = append(d.next, node.Wrote{Conn: e.Conn, N: n, Failed: failed})
		}
	case node.Dial:
		d.dial(e)
	case node.Shut:
		if err := d.links[e.Conn].socket.CloseWrite(); err != nil {
			d.log.Debug().Err(err).Msg("shut")
		}
	case node.Close:
		d.links[e.Conn].close(e.Reset)
		delete(d.links, e.Conn)
	case node.Watch:
		d.watch(e)
	case node.Unwatch:
		d.unwatch(0)
	case node.Timer:
		d.timer.Reset(time.Duration((e.At - d.now()) * 1e9))
	case node.Note:
		d.log.Info().Msg(e.Line)
	case node.Done:
		r := e.Record
		d.log.Info().Str("reason", string(r.Reason)).Str("type", r.Type).Str("host", r.Host).
			Int("connects", r.Connects).Float64("setup_s", round(r.Setup)).Float64("lasted_s", round(r.Lasted)).
			Uint64("up", r.Up).Uint64("down", r.Down).Msg("ended")
	case node.Answer:
		if e.Legacy != nil {
			d.heir.post(letter{Message: handover.Message{Legacy: e.Legacy}, door: d.passes()})
		} else {
			d.answer <- e
		}
	case node.Say:
		if d.others != nil {
			select {
			case d.others <- e.Words:
			default: // the sender is behind: lost, as on the way
			}
		}
	case node.Tell:
		if r := e.News.Revision; r != nil && d.fleet != nil {
			d.fleet.InForce(*r)
		}
		d.elder.post(letter{Message: handover.Message{News: &e.News}})
		d.heir.post(letter{Message: handover.Message{News: &e.News}})
	case node.Configured:
		d.configured <- e
	case node.Relocate:
		d.relocate(e.Address)
	case node.Halt:
		l := d.links[e.Conn]
		l.halted = true
		l.socket.SetReadDeadline(time.Unix(1, 0))
	case node.Pass:
		d.pass(e)
	case node.Own:
		d.link(e.Conn, d.adopted)
		d.adopted = nil
	case node.Ready:
		d.open()
	case node.Shutter:
		d.shutter()
	case node.Exit:
		return false
	}
	return true
}

func round(seconds float64) float64 { return float64(int64(seconds*1e3+0.5)) / 1e3 }
