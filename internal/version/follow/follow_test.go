package follow

import (
	"context"
	"encoding/base64"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

// update is a version of a tree whose region is named after it.
func update(v ident.Version) Update {
	text := fmt.Appendf(nil, "[fleet]\nregion = r%d\n", v)
	hash := repo.HashOf(text)
	return Update{
		Head:  repo.Head{Version: v, Files: map[string]repo.File{"root.ini": {Hash: hash, Changed: v}}},
		Texts: map[string][]byte{hash: text},
	}
}

// TestNeverReverts brings versions out of order, from peers and from the
// platform, and checks that only rising ones are applied.
func TestNeverReverts(t *testing.T) {
	var applied []ident.Version
	platform := update(2)
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
		qt.Assert(t, f.Take(update(v)), qt.IsNil)
		qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
	}
	platform = update(5)
	qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
	qt.Assert(t, f.Take(update(4)), qt.IsNil)
	qt.Assert(t, applied, qt.DeepEquals, []ident.Version{1, 2, 3, 5})
	v, _ := f.Version()
	qt.Assert(t, v, qt.Equals, ident.Version(5))
}

// TestDamagedText checks that a text without its hash, or none, is not applied.
func TestDamagedText(t *testing.T) {
	f := &Follower{Apply: func(*config.Tree) { t.Fatal("applied") }}
	u := update(2)
	for hash := range u.Texts {
		u.Texts[hash] = []byte("[fleet]\nregion = other\n")
	}
	qt.Assert(t, f.Take(u), qt.ErrorMatches, ".*without the text of root.ini")
	u.Texts = nil
	qt.Assert(t, f.Take(u), qt.ErrorMatches, ".*without the text of root.ini")
}

// TestUpdate checks that only the texts that the other lacks are sent.
func TestUpdate(t *testing.T) {
	f := &Follower{Apply: func(*config.Tree) {}}
	qt.Assert(t, f.Take(update(2)), qt.IsNil)
	qt.Assert(t, f.Update(nil).Texts, qt.HasLen, 1)
	qt.Assert(t, f.Update(f.Have()).Texts, qt.HasLen, 0)
	text, changed, ok := f.File("root.ini")
	qt.Assert(t, ok && changed == 2, qt.IsTrue)
	qt.Assert(t, string(text), qt.Contains, "r2")
}
