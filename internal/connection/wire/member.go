package wire

import (
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
)

// Gossip carries membership updates.
type Gossip struct {
	Members []Member `cbor:"1,keyasint,omitempty"`
	// SettingsVersion is the version in force at the sender, PeerAddress the sender's
	// peer address.
	SettingsVersion uint64 `cbor:"2,keyasint,omitempty"`
	PeerAddress     string `cbor:"3,keyasint,omitempty"`
	// StoreReadAge is the time since the sender last read the store; 0 if not known.
	StoreReadAge int64 `cbor:"4,keyasint,omitempty"`
	// Quarantined holds the remaining time of each quarantined part of prompts.
	Quarantined map[uint64]int64 `cbor:"5,keyasint,omitempty"`
}

// IndirectProbe requests that a node probe another.
type IndirectProbe struct {
	Target Member `cbor:"1,keyasint"`
}

// IndirectProbeResult is the reply to IndirectProbe. Reached is true if the target replied.
type IndirectProbeResult struct {
	Reached bool `cbor:"1,keyasint"`
}

// Member is member.Member on the wire.
type Member struct {
	ID              string `cbor:"1,keyasint"`
	Region          string `cbor:"2,keyasint"`
	Zone            string `cbor:"3,keyasint"`
	PeerAddress     string `cbor:"4,keyasint"`
	CallerAddress   string `cbor:"5,keyasint"`
	State           uint8  `cbor:"6,keyasint"`
	Suspect         bool   `cbor:"7,keyasint,omitempty"`
	Incarnation     uint64 `cbor:"8,keyasint"`
	SettingsVersion uint64 `cbor:"9,keyasint,omitempty"`
	Capacity        int    `cbor:"10,keyasint,omitempty"`
	HasNoPath       bool   `cbor:"11,keyasint,omitempty"`
	IsClosing       bool   `cbor:"12,keyasint,omitempty"`
}

// FromMember converts a member.
func FromMember(m member.Member) Member {
	return Member{
		string(m.ID), string(m.Region), string(m.Zone), m.PeerAddress, m.CallerAddress,
		uint8(m.State), m.Suspect, m.Incarnation, uint64(m.Settings), m.Capacity, m.HasNoPath, m.IsClosing,
	}
}

// ToMember converts a received member. A state that is not known stays as it is: it is passed on
// to nodes that know it.
func (m Member) ToMember() member.Member {
	return member.Member{
		ID: ident.NodeID(m.ID), Region: ident.Region(m.Region), Zone: ident.AvailabilityZone(m.Zone),
		PeerAddress: m.PeerAddress, CallerAddress: m.CallerAddress, State: member.State(m.State),
		Suspect: m.Suspect, Incarnation: m.Incarnation, Settings: ident.Version(m.SettingsVersion),
		Capacity: max(m.Capacity, 0), HasNoPath: m.HasNoPath, IsClosing: m.IsClosing,
	}
}

// FromMembers returns a Gossip with the given members.
func FromMembers(members []member.Member) Gossip {
	g := Gossip{Members: make([]Member, len(members))}
	for i, m := range members {
		g.Members[i] = FromMember(m)
	}
	return g
}

// ToMembers converts the received members.
func (g Gossip) ToMembers() []member.Member {
	members := make([]member.Member, len(g.Members))
	for i, m := range g.Members {
		members[i] = m.ToMember()
	}
	return members
}
