// Package follow keeps a node on the newest accepted version of the settings.
//
// A Follower receives versions from the platform and from other nodes. From the
// platform it fetches only the texts that it does not have. It never goes back: a version
// that is not higher than the active one is ignored, whatever its source. A
// version becomes the active one right after Follower.Apply has returned.
//
// # Usage
//
//	f := &follow.Follower{Repo: r, Apply: apply}
//	err := f.Refresh(ctx)        // from the platform
//	err = f.ApplyUpdate(update)  // from another node
//	reply := f.UpdateFor(hashes) // for another node that has the texts with these hashes
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

// Update is a version with the texts that its receiver lacks, keyed by hash.
type Update struct {
	Head  repo.Head
	Texts map[string][]byte
}

// Follower holds the active version of the settings. Set the exported fields before
// use; Parse and OnApplied are optional. A Follower is safe for concurrent use.
type Follower struct {
	// Repo is the source of Refresh, which alone uses it.
	Repo *repo.Repo
	// Parse parses the files of a version; nil means config.Parse.
	Parse func(files map[string][]byte, version ident.Version) (*config.Tree, error)
	// Apply activates a tree. Calls are serialized, with increasing versions.
	Apply func(*config.Tree)
	// OnApplied is called after a version has become active. Calls are serialized
	// with those of Apply; like Apply, it must not call Refresh or ApplyUpdate.
	OnApplied func(ident.Version)

	// applyMu serializes apply.
	applyMu sync.Mutex
	// mu guards the fields below.
	mu   sync.Mutex
	head repo.Head
	// texts holds the texts of the active version by hash. The map is replaced,
	// never modified.
	texts     map[string][]byte
	appliedAt time.Time
}

// Version returns the active version and the time at which it became active. The
// version is 0 if there is none.
func (f *Follower) Version() (ident.Version, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Version, f.appliedAt
}

// Refresh fetches and applies the newest version of the platform, unless the active
// one is at least as high.
func (f *Follower) Refresh(ctx context.Context) error {
	head, err := f.Repo.Head(ctx)
	if err != nil {
		return err
	}
	if v, _ := f.Version(); head.Version <= v {
		return nil
	}
	files, err := f.Repo.Texts(ctx, head, f.knownTexts())
	if err != nil {
		return err
	}
	return f.apply(head, files)
}

// ApplyUpdate applies a version received from another node, unless the active one
// is at least as high. It fails if a text is missing or does not match its hash.
func (f *Follower) ApplyUpdate(u Update) error {
	if v, _ := f.Version(); u.Head.Version <= v {
		return nil
	}
	known := f.knownTexts()
	files := map[string][]byte{}
	for name, file := range u.Head.Files {
		text, ok := known[file.Hash]
		if !ok {
			text, ok = u.Texts[file.Hash]
			if !ok || repo.HashOf(text) != file.Hash {
				return eris.Errorf("settings version %d was received without a valid text of %s", u.Head.Version, name)
			}
		}
		files[name] = text
	}
	return f.apply(u.Head, files)
}

// UpdateFor returns the active version without the texts whose hashes the receiver
// already has.
func (f *Follower) UpdateFor(knownHashes []string) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := Update{Head: f.head, Texts: map[string][]byte{}}
	for hash, text := range f.texts {
		u.Texts[hash] = text
	}
	for _, hash := range knownHashes {
		delete(u.Texts, hash)
	}
	return u
}

// KnownHashes returns the hashes of the texts of the active version.
func (f *Follower) KnownHashes() []string {
	var hashes []string
	for hash := range f.knownTexts() {
		hashes = append(hashes, hash)
	}
	return hashes
}

// File returns the text of a file of the active version and the version that
// last changed it. ok is false if there is no such file.
func (f *Follower) File(name string) (text []byte, changed ident.Version, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, ok := f.head.Files[name]
	return f.texts[file.Hash], file.ChangedIn, ok
}

// knownTexts returns the texts of the active version by hash.
func (f *Follower) knownTexts() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.texts
}

// apply parses and activates a version, unless a version at least as high is
// active by now.
func (f *Follower) apply(head repo.Head, files map[string][]byte) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if v, _ := f.Version(); head.Version <= v {
		return nil
	}
	parse := f.Parse
	if parse == nil {
		parse = config.Parse
	}
	tree, err := parse(files, head.Version)
	if err != nil {
		return eris.Wrapf(err, "parse settings version %d", head.Version)
	}
	texts := map[string][]byte{}
	for name, text := range files {
		texts[head.Files[name].Hash] = text
	}
	f.Apply(tree)
	f.mu.Lock()
	f.head, f.texts, f.appliedAt = head, texts, time.Now()
	f.mu.Unlock()
	if f.OnApplied != nil {
		f.OnApplied(head.Version)
	}
	return nil
}
