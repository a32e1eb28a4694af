package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	frameHeaderBytes = 5
	// MaxFrameBytes is the maximum size of a message body.
	MaxFrameBytes = 1 << 20
	// readBufferBytes is the size of a stream's read buffer. It covers most messages; what
	// exceeds it is read without the buffer. Each call and each grant request has a stream
	// at both ends.
	readBufferBytes = 512
	// maxTrustedBytes is the length of a body up to which its buffer is allocated at once.
	maxTrustedBytes = 4 << 10
)

// Kind identifies a message type on the wire.
type Kind uint8

// ErrFrameTooLarge is returned for a message body longer than MaxFrameBytes.
var ErrFrameTooLarge = eris.New("message between nodes is longer than 1 MiB")

// Conn is the byte stream under a Stream.
type Conn interface {
	io.ReadWriteCloser
	SetReadDeadline(time.Time) error
}

// Stream carries messages in both directions. A message is framed as a 4-byte
// body length in network byte order, a 1-byte kind and a CBOR body. Send is safe
// for concurrent use; Receive may be called by only one goroutine at a time.
type Stream struct {
	conn   Conn
	reader *bufio.Reader
	mu     sync.Mutex
	buffer []byte
}

// NewStream returns a Stream over a connection.
func NewStream(conn Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// Send writes one message.
func (s *Stream) Send(kind Kind, message any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	if len(body) > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = AppendFrame(s.buffer[:0], kind, body)
	_, err = s.conn.Write(s.buffer)
	return eris.Wrap(err, "send message")
}

// Receive reads one message. The caller owns the returned body.
func (s *Stream) Receive() (Kind, []byte, error) { return ReadFrame(s.reader) }

// SetReadDeadline sets the deadline for Receive calls; the zero time removes it.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// CloseWrite states that nothing more is sent, right after the last message. Both then mostly
// go in one packet, and a peer that has read them needs no further packets to end the stream.
// The context of a handler whose stream it is ends. Connections without a CloseWrite of their
// own are left as they are.
func (s *Stream) CloseWrite() {
	if c, ok := s.conn.(interface{ CloseWrite() error }); ok {
		c.CloseWrite() //nolint:errcheck // a failure shows in Receive.
	}
}

// Close closes the stream in both directions.
func (s *Stream) Close() error { return s.conn.Close() }

// AppendFrame appends a framed message to a buffer.
func AppendFrame(buffer []byte, kind Kind, body []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = append(buffer, byte(kind))
	return append(buffer, body...)
}

// ReadFrame reads one frame. At the end of the input it returns io.EOF, and within a
// frame io.ErrUnexpectedEOF. Above maxTrustedBytes its buffer grows with the bytes received,
// so a peer cannot make it allocate memory by announcing a large length.
func ReadFrame(r io.Reader) (Kind, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return 0, nil, ErrFrameTooLarge
	}
	if length <= maxTrustedBytes {
		body := make([]byte, length)
		n, err := io.ReadFull(r, body)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Kind(header[4]), body[:n], err
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	return Kind(header[4]), body, err
}

// Decode decodes a message body.
func Decode[T any](body []byte) (T, error) {
	var message T
	err := decodeMode.Unmarshal(body, &message)
	return message, eris.Wrap(err, "decode message")
}

// decodeMode limits the memory that a message from a peer can allocate.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  8,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
