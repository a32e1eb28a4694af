package wire

// KindDetourWithdraw ends a detour without closing its stream, unless the request has been sent to an
// endpoint. Nodes of earlier builds end it then as well, as at any message that follows the body.
const KindDetourWithdraw = KindRolloutQuery + 1

// Detour opens the stream on which a node that has no path to the endpoints has another one
// serve a request. KindDetourBody messages with BodyBytes bytes follow. The reply is
// KindQueued from time to time, KindDetourHead, KindDetourData and KindDetourEnd; the
// requester closes the stream when its caller is gone. If it wants to know whether a request that it
// gives up has run, it sends KindDetourWithdraw, without content, and waits for KindDetourEnd.
type Detour struct {
	Method    string              `cbor:"1,keyasint"`
	Target    string              `cbor:"2,keyasint"`
	Host      string              `cbor:"3,keyasint"`
	Header    map[string][]string `cbor:"4,keyasint"`
	HasBody   bool                `cbor:"5,keyasint,omitempty"`
	BodyBytes int                 `cbor:"6,keyasint,omitempty"`
	Remaining int64               `cbor:"7,keyasint"` // until the deadline
	// Attempts is the number of endpoints that the request was sent to before.
	Attempts int `cbor:"8,keyasint,omitempty"`
	// LastEventID is the last event of a stream that the caller has, and Release the release
	// that began the stream, nil if that is not known.
	LastEventID int     `cbor:"9,keyasint,omitempty"`
	Release     *string `cbor:"10,keyasint,omitempty"`
	// Pool is the one of the route's pools that the request has gone to or is to go to.
	Pool string `cbor:"11,keyasint,omitempty"`
	// Settings is the settings version by which the requester judged the request, 0 if it is
	// of an earlier build, and PeerAddress is the requester's peer address.
	Settings    uint64 `cbor:"12,keyasint,omitempty"`
	PeerAddress string `cbor:"13,keyasint,omitempty"`
}

// DetourData is a part of the request's body or of its answer.
type DetourData struct {
	Data []byte `cbor:"1,keyasint"`
}

// DetourProgress says that the request is being served. Attempts is the number of endpoints that
// it has been sent to in all, with the one to which it is just being sent, or 0.
type DetourProgress struct {
	Attempts int `cbor:"1,keyasint,omitempty"`
	// IsCounted is set if each attempt is reported, as earlier builds don't.
	IsCounted bool `cbor:"2,keyasint,omitempty"`
}

// DetourHead is the head of the answer.
type DetourHead struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
}

// DetourEnd is the result of the request. Declined is set if the node did nothing for it.
type DetourEnd struct {
	Declined  bool `cbor:"1,keyasint,omitempty"`
	Truncated bool `cbor:"2,keyasint,omitempty"`
	// Refusal is nil if an answer was sent.
	Refusal     *Refusal `cbor:"3,keyasint,omitempty"`
	Attempts    int      `cbor:"4,keyasint,omitempty"`
	Interrupted int      `cbor:"5,keyasint,omitempty"`
	Events      int      `cbor:"6,keyasint,omitempty"`
	Endpoint    string   `cbor:"7,keyasint,omitempty"`
	Releases    []string `cbor:"8,keyasint,omitempty"`
	Reason      string   `cbor:"9,keyasint,omitempty"`
	// CutAfter is the last event of a stream that the node cut because it stops, 0 otherwise.
	CutAfter int `cbor:"10,keyasint,omitempty"`
	// Pool is the one in which the request was served.
	Pool string `cbor:"11,keyasint,omitempty"`
}
