package lbwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"

	"gorseledge/placement"
)

// bufferBytes is the size of the buffers for what is read and written.
const bufferBytes = 1 << 16

// Serve answers each batch on r with one reply on w until r ends, which is no error. A batch that cannot be decoded is an
// error that names the batch and record, counted from 0; nothing is written for it.
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

// session is the state between batches: the instances, and buffers that are used again.
type session struct {
	instances map[uint16]*instance
	batch     batch
	order     []uint16 // instances of the batch's events, in the order in which they come first or again
	actions   []byte   // records of the reply
	tail      []byte   // of the reply
}

// batch is a frame that was read.
type batch struct {
	now   float64 // seconds
	body  []byte  // records and tail
	count int     // of records
}

// record gives the record at an index.
func (b *batch) record(index int) []byte { return b.body[index*eventBytes : (index+1)*eventBytes] }

// tail gives what follows the records.
func (b *batch) tail() []byte { return b.body[b.count*eventBytes:] }

// readBatch reads the next frame. It gives io.EOF at the end of the stream.
func (s *session) readBatch(reader io.Reader) error {
	var head [batchHeadBytes]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return errors.New("cut off in its header")
	}
	size, count := byteOrder.Uint32(head[8:]), byteOrder.Uint32(head[12:])
	if size < batchHeadBytes || size > maxFrameBytes || uint64(count)*eventBytes > uint64(size-batchHeadBytes) {
		return fmt.Errorf("%d bytes do not hold %d records", size, count)
	}
	s.batch.now = float64(byteOrder.Uint64(head[:])) * microsecond
	s.batch.count = int(count)
	s.batch.body = resize(s.batch.body, int(size-batchHeadBytes))
	if _, err := io.ReadFull(reader, s.batch.body); err != nil {
		return fmt.Errorf("cut off before its %d bytes", size)
	}
	return nil
}

// resize gives a buffer of a length, the same one where it is large enough.
func resize(buffer []byte, length int) []byte {
	if cap(buffer) < length {
		return make([]byte, length)
	}
	return buffer[:length]
}

// handleBatch gives the batch's events to the instances, and then collects the decisions of each instance that had one.
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

// collectDecisions appends the actions that an instance decides on now.
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

// writeReply writes the batch's reply at once.
func (s *session) writeReply(w *bufio.Writer) error {
	var head [replyHeadBytes]byte
	byteOrder.PutUint32(head[:], uint32(replyHeadBytes+len(s.actions)+len(s.tail)))
	byteOrder.PutUint32(head[4:], uint32(len(s.actions)/actionBytes))
	for _, part := range [][]byte{head[:], s.actions, s.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}
