// Package follow keeps the newest accepted settings in force on a node.
//
// A Follower takes versions from the platform and from other nodes, fetches
// only the texts it does not have, and never goes back: a version that is not
// higher than the one in force is passed over, whoever brings it. A version is
// in force once Apply has returned.
//
// # Usage
//
//	f := &follow.Follower{Repo: r, Apply: use}
//	err := f.Refresh(ctx)        // from the platform
//	err = f.Take(update)         // from another node
//	reply := f.Update(have)      // for another node
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

// Update is a version with the texts that its receiver lacks, by hash.
type Update struct {
	Head  repo.Head
	Texts map[string][]byte
}

// Follower holds the settings in force. Set the exported fields before use;
// it is safe for concurrent use.
type Follower struct {
	Repo *repo.Repo
	// Parse reads a version's files; nil takes config.Parse.
	Parse func(files map[string][]byte, version ident.Version) (*config.Tree, error)
	// Apply puts a tree in force. It is called for rising versions, one at a
	// time.
	Apply func(*config.Tree)
	// Announce is called after a version is in force; nil is allowed.
	Announce func(ident.Version)

	applying sync.Mutex
	mu       sync.Mutex
	head     repo.Head
	texts    map[string][]byte
	since    time.Time
}

// Version returns the version in force and since when; 0 is none.
func (f *Follower) Version() (ident.Version, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Version, f.since
}

// Refresh takes the newest version from the platform.
func (f *Follower) Refresh(ctx context.Context) error {
	head, err := f.Repo.Head(ctx)
	if err != nil {
		return err
	}
	if v, _ := f.Version(); head.Version <= v {
		return nil
	}
	files, err := f.Repo.Texts(ctx, head, f.known())
	if err != nil {
		return err
	}
	return f.apply(head, files)
}

// Take takes a version that another node has. It fails when a text is missing
// or does not have its hash.
func (f *Follower) Take(u Update) error {
	if v, _ := f.Version(); u.Head.Version <= v {
		return nil
	}
	known := f.known()
	files := map[string][]byte{}
	for name, file := range u.Head.Files {
		text, ok := known[file.Hash]
		if !ok {
			text, ok = u.Texts[file.Hash]
			if !ok || repo.HashOf(text) != file.Hash {
				return eris.Errorf("version %d came without the text of %s", u.Head.Version, name)
			}
		}
		files[name] = text
	}
	return f.apply(u.Head, files)
}

// Update returns the version in force, without the texts that the receiver
// has.
func (f *Follower) Update(have []string) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := Update{Head: f.head, Texts: map[string][]byte{}}
	for hash, text := range f.texts {
		u.Texts[hash] = text
	}
	for _, hash := range have {
		delete(u.Texts, hash)
	}
	return u
}

// Have names the texts of the version in force.
func (f *Follower) Have() []string {
	var have []string
	for hash := range f.known() {
		have = append(have, hash)
	}
	return have
}

// File returns the text of a file and the version that last changed it.
func (f *Follower) File(name string) (text []byte, changed ident.Version, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, ok := f.head.Files[name]
	return f.texts[file.Hash], file.Changed, ok
}

func (f *Follower) known() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.texts
}

// apply puts a version in force, unless a higher one came meanwhile.
func (f *Follower) apply(head repo.Head, files map[string][]byte) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	if v, _ := f.Version(); head.Version <= v {
		return nil
	}
	parse := f.Parse
	if parse == nil {
		parse = config.Parse
	}
	tree, err := parse(files, head.Version)
	if err != nil {
		return eris.Wrapf(err, "version %d", head.Version)
	}
	texts := map[string][]byte{}
	for name, text := range files {
		texts[head.Files[name].Hash] = text
	}
	f.Apply(tree)
	f.mu.Lock()
	f.head, f.texts, f.since = head, texts, time.Now()
	f.mu.Unlock()
	if f.Announce != nil {
		f.Announce(head.Version)
	}
	return nil
}
