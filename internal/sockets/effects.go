package sockets

import (
	"gorseledge/internal/node"
)

// perform carries out one effect of the core. It returns false for node.Exit, the last one.
func (s *server) perform(effect node.Effect) bool {
	switch e := effect.(type) {
	case node.Read:
		s.connections[e.Conn].read(e)
	case node.Write:
		s.write(e)
	case node.Dial:
		s.dial(e)
	case node.CloseWrite:
		s.closeWrite(e.Conn)
	case node.Close:
		s.connections[e.Conn].close(e.Reset)
		delete(s.connections, e.Conn)
	case node.StopReading:
		s.connections[e.Conn].stopReading()
	case node.Watch:
		s.watchList(e)
	case node.StopWatch:
		s.discovery.stop()
	case node.MoveDiscovery:
		s.setLiveDiscovery(e.Address)
	case node.SetTimer:
		s.timer.Reset(seconds(e.At - s.clock.now()))
	case node.WriteLog:
		s.log.Info().Msg(e.Line)
	case node.LogConnection:
		s.logConnection(e.Record)
	case node.Reply:
		s.reply(e)
	case node.SettingsApplied:
		s.settingsReply <- e
	case node.SendGossip:
		s.postGossip(e.Loads)
	case node.RevisionInForce:
		if s.fleet != nil {
			s.fleet.SetInForce(e.Revision, e.Ignored)
		}
	case node.UpdatePeerProcess:
		s.postUpdate(e)
	case node.SendConnection:
		s.sendConnection(e)
	case node.BindHostConnection:
		s.bindHostConnection(e.Conn)
	case node.OpenListener:
		s.openListener()
	case node.CloseListener:
		s.closeListener()
	case node.Exit:
		return false
	}
	return true
}

// write begins a write. If it completes at once, its result is passed to the core after the current effects; otherwise
// the connection's goroutine reports it later.
func (s *server) write(e node.Write) {
	result := s.connections[e.Conn].write(e)
	if result.complete {
		s.pending = append(s.pending, node.WriteDone{Conn: e.Conn, Count: result.written, Failed: result.failed})
	}
}

func (s *server) closeWrite(conn node.ConnID) {
	if err := s.connections[conn].socket.CloseWrite(); err != nil {
		s.log.Debug().Err(err).Msg("closing the write side of a connection failed")
	}
}

// reply passes on the core's reply to a query: a state to hand over goes to the successor, any other reply to the admin
// address.
func (s *server) reply(e node.Reply) {
	if e.Handover != nil {
		s.postState(e.Handover)
		return
	}
	s.queryReply <- e
}

// logConnection logs the end of a client's connection.
func (s *server) logConnection(r node.ConnectionRecord) {
	s.log.Info().Str("reason", string(r.Reason)).Str("type", r.Type).Str("host", r.Host).
		Int("connects", r.Attempts).Float64("setup_s", milliseconds(r.Setup)).Float64("lasted_s", milliseconds(r.Duration)).
		Uint64("up", r.BytesFromClient).Uint64("down", r.BytesToClient).Msg("client connection ended")
}

// milliseconds rounds a non-negative number of seconds to whole milliseconds.
func milliseconds(seconds float64) float64 { return float64(int64(seconds*1e3+0.5)) / 1e3 }
