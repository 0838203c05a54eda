package lbwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"

	"gorseledge/placement"
)

// bufferBytes is the size in bytes of the read buffer and of the write buffer.
const bufferBytes = 1 << 16

// Serve reads batches from r and writes one reply to w for each. It returns nil at the end of r. For a batch that cannot be
// decoded, it writes no reply and returns an error with the numbers of the batch and the record, counted from 0.
func Serve(r io.Reader, w io.Writer) error {
	reader, writer := bufio.NewReaderSize(r, bufferBytes), bufio.NewWriterSize(w, bufferBytes)
	s := &session{instances: map[uint16]*instance{}}
	for number := 0; ; number++ {
		err := s.readBatch(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", number, err)
		}
		if err := s.handleBatch(); err != nil {
			return fmt.Errorf("batch %d, %w", number, err)
		}
		if err := s.writeReply(writer); err != nil {
			return err
		}
	}
}

// session is the state that persists between batches: the instances, and buffers that are reused.
type session struct {
	instances map[uint16]*instance
	batch     batch
	order     []uint16 // instances with events in the batch, in the order of their events; consecutive repeats are left out
	actions   []byte   // action records of the reply
	tail      []byte   // tail of the reply, to which action records refer
}

// batch is one frame as read from the stream.
type batch struct {
	now   float64 // time of the batch in seconds
	body  []byte  // event records, followed by the tail
	count int     // number of event records
}

// record returns the event record at an index.
func (b *batch) record(index int) []byte { return b.body[index*eventBytes : (index+1)*eventBytes] }

// tail returns the bytes after the event records.
func (b *batch) tail() []byte { return b.body[b.count*eventBytes:] }

// readBatch reads the next frame. It returns io.EOF at the end of the stream.
func (s *session) readBatch(reader io.Reader) error {
	var header [batchHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return errors.New("stream ended within the header")
	}
	size, count := byteOrder.Uint32(header[8:]), byteOrder.Uint32(header[12:])
	if size < batchHeaderBytes || size > maxFrameBytes || uint64(count)*eventBytes > uint64(size-batchHeaderBytes) {
		return fmt.Errorf("frame size must be between %d and %d bytes and fit %d records of %d bytes, got %d bytes",
			batchHeaderBytes, maxFrameBytes, count, eventBytes, size)
	}
	s.batch.now = float64(byteOrder.Uint64(header[:])) * microsecond
	s.batch.count = int(count)
	s.batch.body = resize(s.batch.body, int(size-batchHeaderBytes))
	if _, err := io.ReadFull(reader, s.batch.body); err != nil {
		return fmt.Errorf("stream ended before the end of the frame of %d bytes", size)
	}
	return nil
}

// resize returns a buffer of the given length. It reuses the given buffer if that is large enough.
func resize(buffer []byte, length int) []byte {
	if cap(buffer) < length {
		return make([]byte, length)
	}
	return buffer[:length]
}

// handleBatch passes the batch's events to the instances and then collects the decisions of each instance that had events.
func (s *session) handleBatch() error {
	s.actions, s.tail, s.order = s.actions[:0], s.tail[:0], s.order[:0]
	for i := range s.batch.count {
		if err := s.handleEvent(s.batch.now, s.batch.record(i), s.batch.tail()); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	for i, id := range s.order {
		in := s.instances[id]
		if in == nil || slices.Contains(s.order[:i], id) {
			continue
		}
		s.collectDecisions(id, in)
		s.appendGossip(id, in)
		in.releaseEndedFlows()
	}
	return nil
}

// collectDecisions appends the actions for all decisions that an instance makes at the time of the batch.
func (s *session) collectDecisions(id uint16, in *instance) {
	for {
		decision, ok := in.balancer.Next(s.batch.now)
		if !ok {
			return
		}
		s.appendDecision(id, in, decision)
		if decision.Action == placement.Reject || decision.Action == placement.Abort {
			in.touched = append(in.touched, decision.Flow)
		}
	}
}

// writeReply writes the reply to the batch and flushes it.
func (s *session) writeReply(w *bufio.Writer) error {
	var header [replyHeaderBytes]byte
	byteOrder.PutUint32(header[:], uint32(replyHeaderBytes+len(s.actions)+len(s.tail)))
	byteOrder.PutUint32(header[4:], uint32(len(s.actions)/actionBytes))
	for _, part := range [][]byte{header[:], s.actions, s.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}
