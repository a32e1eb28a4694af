package follow

import (
	"context"
	"encoding/base64"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

// newUpdate returns version v of a tree whose region is "r" followed by v.
func newUpdate(v ident.Version) Update {
	text := fmt.Appendf(nil, "[fleet]\nregion = r%d\n", v)
	hash := repo.HashOf(text)
	return Update{
		Head:  repo.Head{Version: v, Files: map[string]repo.File{"root.ini": {Hash: hash, ChangedIn: v}}},
		Texts: map[string][]byte{hash: text},
	}
}

// TestOlderVersionsIgnored delivers versions out of order, from peers and from
// the platform, and checks that only increasing ones are applied.
func TestOlderVersionsIgnored(t *testing.T) {
	var applied []ident.Version
	platform := newUpdate(2)
	f := &Follower{Apply: func(t *config.Tree) { applied = append(applied, t.Version) }}
	f.Repo = &repo.Repo{Get: func(_ context.Context, _, key string) (store.Row, bool, error) {
		for hash, text := range platform.Texts {
			if key == "text/"+hash {
				return store.Row{Value: fmt.Appendf(nil, "%q", base64.StdEncoding.EncodeToString(text))}, true, nil
			}
			if key == "head" {
				head := fmt.Sprintf(`{"version":%d,"files":{"root.ini":{"sha256":%q,"changed":1}}}`, platform.Head.Version, hash)
				return store.Row{Version: 1, Value: []byte(head)}, true, nil
			}
		}
		return store.Row{}, false, nil
	}}
	for _, v := range []ident.Version{1, 3, 2, 3, 1} {
		qt.Assert(t, f.ApplyUpdate(newUpdate(v)), qt.IsNil)
		qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
	}
	platform = newUpdate(5)
	qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
	qt.Assert(t, f.ApplyUpdate(newUpdate(4)), qt.IsNil)
	qt.Assert(t, applied, qt.DeepEquals, []ident.Version{1, 2, 3, 5})
	v, _ := f.Version()
	qt.Assert(t, v, qt.Equals, ident.Version(5))
}

// TestCorruptTextRejected checks that an update with a missing text, or one that
// does not match its hash, is not applied.
func TestCorruptTextRejected(t *testing.T) {
	f := &Follower{Apply: func(*config.Tree) { t.Fatal("applied") }}
	u := newUpdate(2)
	for hash := range u.Texts {
		u.Texts[hash] = []byte("[fleet]\nregion = other\n")
	}
	qt.Assert(t, f.ApplyUpdate(u), qt.ErrorMatches, ".*without a valid text of root.ini")
	u.Texts = nil
	qt.Assert(t, f.ApplyUpdate(u), qt.ErrorMatches, ".*without a valid text of root.ini")
}

// TestUpdateOmitsKnownTexts checks that an update holds only the texts that the
// receiver lacks.
func TestUpdateOmitsKnownTexts(t *testing.T) {
	f := &Follower{Apply: func(*config.Tree) {}}
	qt.Assert(t, f.ApplyUpdate(newUpdate(2)), qt.IsNil)
	qt.Assert(t, f.UpdateFor(nil).Texts, qt.HasLen, 1)
	qt.Assert(t, f.UpdateFor(f.KnownHashes()).Texts, qt.HasLen, 0)
	text, changed, ok := f.File("root.ini")
	qt.Assert(t, ok && changed == 2, qt.IsTrue)
	qt.Assert(t, string(text), qt.Contains, "r2")
}
