package link

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

const (
	// receivedByte is sent by the peer when the message has arrived, and
	// confirmedByte by the asking daemon when it has read receivedByte and waits for
	// the reply.
	receivedByte  = 1
	confirmedByte = 2
	// gatherHeaderBytes is the size of the type and length before the body of a
	// message of type Gather.
	gatherHeaderBytes = 5
)

// AskGather sends a message of type Gather, whose reply may take a while. The peer
// acknowledges the message at once. AskGather then calls stillWanted, and either
// confirms to the peer that it waits for the reply or cancels the stream.
func (l *Link) AskGather(ctx context.Context, address string, body []byte, stillWanted func() bool) ([]byte, error) {
	message := make([]byte, gatherHeaderBytes, gatherHeaderBytes+len(body))
	message[0] = byte(Gather)
	binary.BigEndian.PutUint32(message[1:], uint32(len(body)))
	stream, err := l.openStream(ctx, address, append(message, body...))
	if err != nil {
		return nil, err
	}
	// An error needs no handling: nothing more is sent to the peer.
	defer func() { _ = stream.Close() }()
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	var first [1]byte
	if _, err := io.ReadFull(stream, first[:]); err != nil {
		return nil, &Error{Op: "consult", Kind: KindBroken, Err: err}
	}
	if !stillWanted() {
		return nil, &Error{Op: "consult", Kind: KindGivenUp}
	}
	// A peer that has replied already refuses the confirmation, and its reply can be read.
	var refused *quic.StreamError
	if _, err := stream.Write([]byte{confirmedByte}); err != nil && !errors.As(err, &refused) {
		return nil, &Error{Op: "consult", Kind: KindBroken, Err: err}
	}
	return l.readReply(stream)
}

// answerGather acknowledges the message and serves it. An asking daemon that gets no
// acknowledgement asks another peer long before the reply is due.
func (l *Link) answerGather(stream *quic.Stream, body []byte) {
	if _, err := stream.Write([]byte{receivedByte}); err != nil {
		return
	}
	confirmed := make(chan struct{})
	go func() {
		var first [1]byte
		if _, err := io.ReadFull(stream, first[:]); err == nil && first[0] == confirmedByte {
			close(confirmed)
		}
	}()
	reply := l.HandleGather(stream.Context(), body, confirmed)
	stream.CancelRead(0)
	l.countSent(Gather, len(reply))
	// If the reply cannot be written, the asking daemon gets an error from its read.
	_, _ = stream.Write(reply)
}

// readGather reads a message of type Gather after its first byte. The message carries
// its length, since the confirmation follows on the same stream.
func (l *Link) readGather(stream deadlineReader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(stream, size[:]); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(size[:]))
	if length > MaxMessageBytes {
		return nil, fault.Causef("a message of %d bytes", length)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(stream, body); err != nil {
		return nil, err
	}
	l.receivedBytes.Add(int64(length + gatherHeaderBytes))
	return body, stream.SetReadDeadline(time.Time{})
}
