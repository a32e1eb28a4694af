package batch

import (
	"container/list"
	"strings"

	"goldcrestwick/internal/request/ident"
)

// memory holds the tokens of an engine: those that belong to one run, and
// parts of prompts, which runs share and which stay after them until the space
// is needed.
type memory struct {
	limit ident.Tokens
	// private are the tokens that belong to one run each.
	private ident.Tokens
	parts   map[string]*part
	// kept holds the parts that no run uses, the least recently used last.
	kept list.List
	used ident.Tokens
}

type part struct {
	key    string
	tokens ident.Tokens
	runs   int
	// isRead is set once a run has read the part.
	isRead bool
	at     *list.Element
}

// keysOf names each part by all parts up to it: a kept part is of use only
// after the same ones.
func keysOf(parts []Part) []string {
	keys := make([]string, len(parts))
	var name strings.Builder
	for i, p := range parts {
		name.WriteString(p.ID)
		name.WriteByte(' ')
		keys[i] = name.String()
	}
	return keys
}

// match returns how many tokens from a prompt's start need not be read.
func (m *memory) match(keys []string) ident.Tokens {
	var tokens ident.Tokens
	for _, key := range keys {
		p := m.parts[key]
		if p == nil || !p.isRead {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

// take gives a run its parts and its private tokens, or nothing when they do
// not fit. Tokens that no run uses yield.
func (m *memory) take(keys []string, sizes []Part, private ident.Tokens) bool {
	need := private
	for i, key := range keys {
		if p := m.parts[key]; p == nil || p.runs == 0 {
			need += sizes[i].Tokens
		}
	}
	if m.firm()+need > m.limit {
		return false
	}
	if m.parts == nil {
		m.parts = map[string]*part{}
	}
	for i, key := range keys {
		p := m.parts[key]
		if p == nil {
			p = &part{key: key, tokens: sizes[i].Tokens}
			m.parts[key] = p
			m.used += p.tokens
		}
		if p.at != nil {
			m.kept.Remove(p.at)
			p.at = nil
		}
		p.runs++
	}
	m.private += private
	m.used += private
	m.yield()
	return true
}

// firm is what cannot yield.
func (m *memory) firm() ident.Tokens {
	firm := m.used
	for at := m.kept.Front(); at != nil; at = at.Next() {
		firm -= partAt(at).tokens
	}
	return firm
}

// grow adds private tokens and reports whether they fit.
func (m *memory) grow(tokens ident.Tokens) bool {
	m.private += tokens
	m.used += tokens
	m.yield()
	return m.used <= m.limit
}

// yield drops kept parts until the rest fits.
func (m *memory) yield() {
	for m.used > m.limit && m.kept.Len() > 0 {
		p := partAt(m.kept.Back())
		m.kept.Remove(p.at)
		delete(m.parts, p.key)
		m.used -= p.tokens
	}
}

// release takes a run's tokens back. Later parts yield first, since they are
// of no use without the earlier ones.
func (m *memory) release(keys []string, private ident.Tokens) {
	m.private -= private
	m.used -= private
	for i := len(keys) - 1; i >= 0; i-- {
		p := m.parts[keys[i]]
		if p.runs--; p.runs > 0 {
			continue
		}
		if !p.isRead {
			delete(m.parts, p.key)
			m.used -= p.tokens
			continue
		}
		p.at = m.kept.PushFront(p)
	}
}

// setRead makes parts usable by later runs.
func (m *memory) setRead(keys []string) {
	for _, key := range keys {
		m.parts[key].isRead = true
	}
}

func partAt(at *list.Element) *part {
	p, ok := at.Value.(*part)
	if !ok {
		panic("batch: the list of kept parts holds something else")
	}
	return p
}
