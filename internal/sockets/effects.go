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
			d.next = append(d.next, node.WriteDone{Conn: e.Conn, N: n, Failed: failed})
		}
	case node.Dial:
		d.dial(e)
	case node.CloseWrite:
		if err := d.links[e.Conn].socket.CloseWrite(); err != nil {
			d.log.Debug().Err(err).Msg("shut")
		}
	case node.Close:
		d.links[e.Conn].close(e.Reset)
		delete(d.links, e.Conn)
	case node.Watch:
		d.watch(e)
	case node.StopWatch:
		d.unwatch(0)
	case node.SetTimer:
		d.timer.Reset(time.Duration((e.At - d.now()) * 1e9))
	case node.WriteLog:
		d.log.Info().Msg(e.Line)
	case node.LogConnection:
		r := e.Record
		d.log.Info().Str("reason", string(r.Reason)).Str("type", r.Type).Str("host", r.Host).
			Int("connects", r.Attempts).Float64("setup_s", round(r.Setup)).Float64("lasted_s", round(r.Duration)).
			Uint64("up", r.BytesFromClient).Uint64("down", r.BytesToClient).Msg("ended")
	case node.Reply:
		if e.Handover != nil {
			d.successor.post(letter{Message: handover.Message{State: e.Handover}, door: d.passes()})
		} else {
			d.answer <- e
		}
	case node.SendGossip:
		if d.others != nil {
			select {
			case d.others <- e.Loads:
			default: // the sender is behind: lost, as on the way
			}
		}
	case node.UpdatePeerProcess:
		if r := e.Update.Revision; r != nil && d.fleet != nil {
			d.fleet.InForce(*r)
		}
		d.predecessor.post(letter{Message: handover.Message{Update: &e.Update}})
		d.successor.post(letter{Message: handover.Message{Update: &e.Update}})
	case node.SettingsApplied:
		d.configured <- e
	case node.MoveDiscovery:
		d.relocate(e.Address)
	case node.StopReading:
		l := d.links[e.Conn]
		l.halted = true
		l.socket.SetReadDeadline(time.Unix(1, 0))
	case node.SendConnection:
		d.pass(e)
	case node.BindHostConnection:
		d.link(e.Conn, d.adopted)
		d.adopted = nil
	case node.OpenListener:
		d.open()
	case node.CloseListener:
		d.shutter()
	case node.Exit:
		return false
	}
	return true
}

func round(seconds float64) float64 { return float64(int64(seconds*1e3+0.5)) / 1e3 }
