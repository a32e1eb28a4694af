package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	headerBytes = 5
	// MaxFrameBytes bounds one message between nodes.
	MaxFrameBytes = 1 << 20
)

// Kind numbers a type of message.
type Kind uint8

// ErrFrameTooLarge is returned for a message longer than MaxFrameBytes.
var ErrFrameTooLarge = eris.New("message between nodes is longer than 1 MiB")

// Conn is the byte stream under a Stream.
type Conn interface {
	io.ReadWriteCloser
	SetReadDeadline(time.Time) error
}

// Stream carries messages in both directions: 4 bytes of length in network
// order, 1 byte of kind, then a CBOR body. Send may be called by several
// goroutines, Receive by one.
type Stream struct {
	conn   Conn
	reader *bufio.Reader
	mu     sync.Mutex
	buffer []byte
}

// NewStream returns a Stream over a connection.
func NewStream(conn Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
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

// Receive reads one message. The body is the caller's own.
func (s *Stream) Receive() (Kind, []byte, error) { return ReadFrame(s.reader) }

// SetReadDeadline bounds the next Receive; the zero time removes the bound.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close ends the stream in both directions.
func (s *Stream) Close() error { return s.conn.Close() }

// AppendFrame appends the frame of a message to a buffer.
func AppendFrame(buffer []byte, kind Kind, body []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = append(buffer, byte(kind))
	return append(buffer, body...)
}

// ReadFrame reads one frame. It never holds more than arrived, whatever the
// length says.
func ReadFrame(r io.Reader) (Kind, []byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return 0, nil, ErrFrameTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	return Kind(header[4]), body, err
}

// Decode reads a message body.
func Decode[T any](body []byte) (T, error) {
	var message T
	err := decoding.Unmarshal(body, &message)
	return message, eris.Wrap(err, "decode message")
}

// decoding bounds what a peer can make us allocate.
var decoding = func() cbor.DecMode {
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
