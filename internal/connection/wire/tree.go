package wire

import (
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/follow"
	"goldcrestwick/internal/version/repo"
)

// VersionNotice announces that the node at PeerAddress has a version of the
// settings.
type VersionNotice struct {
	Version     uint64 `cbor:"1,keyasint"`
	PeerAddress string `cbor:"2,keyasint"`
}

// TreeQuery queries a node's settings. KnownHashes lists the hashes of the file
// contents that the requester already has.
type TreeQuery struct {
	KnownHashes []string `cbor:"1,keyasint,omitempty"`
}

// Tree is one version of the settings. Texts holds, by hash, the file contents
// that the requester lacks.
type Tree struct {
	Version uint64              `cbor:"1,keyasint"`
	Files   map[string]TreeFile `cbor:"2,keyasint,omitempty"`
	Texts   map[string][]byte   `cbor:"3,keyasint,omitempty"`
}

// TreeFile identifies the contents of a file by hash, and holds the settings
// version in which it last changed.
type TreeFile struct {
	Hash    string `cbor:"1,keyasint"`
	Changed uint64 `cbor:"2,keyasint"`
}

// FromUpdate converts a version of the settings.
func FromUpdate(u follow.Update) Tree {
	m := Tree{Version: uint64(u.Head.Version), Files: map[string]TreeFile{}, Texts: u.Texts}
	for name, f := range u.Head.Files {
		m.Files[name] = TreeFile{f.Hash, uint64(f.ChangedIn)}
	}
	return m
}

// ToUpdate converts a received version of the settings.
func (m Tree) ToUpdate() follow.Update {
	u := follow.Update{Head: repo.Head{Version: ident.Version(m.Version), Files: map[string]repo.File{}}, Texts: m.Texts}
	for name, f := range m.Files {
		u.Head.Files[name] = repo.File{Hash: f.Hash, ChangedIn: ident.Version(f.Changed)}
	}
	return u
}

// Version reports which settings version is in force at a node, and since when.
type Version struct {
	Version        uint64 `cbor:"1,keyasint"`
	SinceUnixMilli int64  `cbor:"2,keyasint"`
}
