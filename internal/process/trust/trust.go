// Package trust manages the fleet's certificate authority, which is kept in the
// store, and this node's certificate.
//
// The first node that starts creates the authority and writes it on the condition
// that none exists. Every other node reads it and issues its own certificate. So
// exactly the processes that can read the store can join the fleet.
//
// A store that is restored from an older copy may have lost the authority. The
// nodes that hold it write it again (Restore), and a node that starts meanwhile
// waits for that before it creates a new one.
//
// # Usage
//
//	m := &trust.Manager{Store: client, Name: name, IP: ip, Log: logger}
//	err := m.Load(ctx)
//	l := &link.Transport{TLSConfig: m.TLSConfig}
package trust

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/store"
)

// The table and key of the row that holds the authority.
const (
	Table = "fleet"
	key   = "authority"
)

// renewAfter is the age at which a node's certificate is renewed: half its lifetime.
const renewAfter = link.CertLifetime / 2

// Manager holds the fleet's certificate authority and this node's certificate. Set
// the exported fields before calling Load. Methods are safe for concurrent use.
type Manager struct {
	Store *store.Client
	Name  string
	IP    net.IP
	// CreateDelay is how long Load waits for another node to write the authority
	// again before it creates one; 0 suits the first start of a fleet.
	CreateDelay time.Duration
	Log         *log.Logger

	mu        sync.Mutex
	authority *link.Authority
	config    *tls.Config
	issued    time.Time
	// missingSince is when Load first found no authority.
	missingSince time.Time
}

// ErrNoAuthority is returned while there is no authority and CreateDelay has not
// passed.
var ErrNoAuthority = eris.New("the store has no authority yet")

// Load reads the authority, or creates it if there is none, and issues this node's
// certificate. Nodes that create it concurrently end up with the same one.
func (m *Manager) Load(ctx context.Context) error {
	row, found, err := m.Store.Get(ctx, Table, key)
	if err != nil {
		return err
	}
	if !found {
		if m.isCreateDelayed() {
			return ErrNoAuthority
		}
		if row, err = m.create(ctx); err != nil {
			return err
		}
	}
	return m.use(row.Value)
}

// isCreateDelayed reports whether to wait for another node to write the authority
// again.
func (m *Manager) isCreateDelayed() bool {
	if m.CreateDelay == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.missingSince.IsZero() {
		m.missingSince = time.Now()
	}
	return time.Since(m.missingSince) < m.CreateDelay
}

// use issues this node's certificate from an encoded authority.
func (m *Manager) use(encoded []byte) error {
	authority, err := link.ParseAuthority(encoded)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.authority = authority
	return m.issue()
}

// Restore writes the authority again if the store, restored from an older copy,
// has none. If the store has another one, it is used from now on, so that the fleet
// ends up with a single one. Call it only after Load.
func (m *Manager) Restore(ctx context.Context) error {
	m.mu.Lock()
	own, err := m.authority.Encode()
	m.mu.Unlock()
	if err != nil {
		return err
	}
	row, found, err := m.Store.Get(ctx, Table, key)
	if err != nil {
		return err
	}
	if !found {
		if row, err = m.write(ctx, own); err != nil {
			return err
		}
		m.Log.Info("authority_restored")
	}
	if bytes.Equal(row.Value, own) {
		return nil
	}
	m.Log.Warn("authority_replaced", "store_version", row.Version)
	return m.use(row.Value)
}

// create writes a new authority and returns its row, or the row of the authority
// that another node has written meanwhile. If create fails, the authority may
// still have been written, and the caller has to read again.
func (m *Manager) create(ctx context.Context) (store.Row, error) {
	fresh, err := link.NewAuthority()
	if err != nil {
		return store.Row{}, err
	}
	value, err := fresh.Encode()
	if err != nil {
		return store.Row{}, err
	}
	return m.write(ctx, value)
}

// write writes an authority on the condition that there is none. It returns its
// row, or the row of the one that exists.
func (m *Manager) write(ctx context.Context, value []byte) (store.Row, error) {
	result, err := m.Store.Transact(ctx,
		[]store.Check{{Table: Table, Key: key}}, []store.Write{{Table: Table, Key: key, Value: value}})
	switch {
	case err != nil:
		return store.Row{}, err
	case result.Applied:
		return store.Row{Key: key, Value: value}, nil
	case len(result.Conflicts) == 1:
		return result.Conflicts[0], nil
	}
	return store.Row{}, eris.New("store refused the new authority without naming a conflict")
}

// LedgerKey returns the key that signs the fleet's ledger. It is derived from the
// authority's key.
func (m *Manager) LedgerKey() ed25519.PrivateKey {
	m.mu.Lock()
	defer m.mu.Unlock()
	seed := m.authority.DeriveSecret("ledger")
	return ed25519.NewKeyFromSeed(seed[:])
}

func (m *Manager) issue() error {
	config, err := m.authority.Issue(m.Name, m.IP)
	if err != nil {
		return err
	}
	m.config, m.issued = config, time.Now()
	return nil
}

// TLSConfig returns the TLS configuration with this node's certificate and the
// authority that it trusts. It renews the certificate after half its lifetime.
func (m *Manager) TLSConfig() *tls.Config {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.issued) > renewAfter {
		if err := m.issue(); err != nil {
			m.Log.Error("certificate_not_issued", "error", err)
		}
	}
	return m.config
}
