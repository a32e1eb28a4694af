package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// rereadInterval is how often the key files are looked at for rotation.
	rereadInterval = 10 * time.Second
	// CertLife is that of a node's certificate, authorityLife that of the
	// authority.
	CertLife      = 24 * time.Hour
	authorityLife = 20 * 365 * 24 * time.Hour
	// clockSlack is how far clocks may be apart.
	clockSlack = time.Hour
	serialBits = 128
)

// Files reads the certificates of a node from files and reads them anew when
// they change, so that keys are rotated without a restart. While new files
// cannot be read, the old certificates stay in use.
type Files struct {
	CA, Cert, Key string

	mu     sync.Mutex
	config *tls.Config
	read   time.Time
}

// Load reads the files. It fails when one is missing or does not fit.
func (f *Files) Load() error {
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return eris.Wrap(err, "read peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return eris.Errorf("%s holds no certificate", f.CA)
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return eris.Wrap(err, "read peer certificate")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = mutual(pool, cert)
	f.read = time.Now()
	return nil
}

// Config returns the certificates in use.
func (f *Files) Config() *tls.Config {
	f.mu.Lock()
	old := time.Since(f.read) > rereadInterval
	if old {
		f.read = time.Now()
	}
	f.mu.Unlock()
	if old {
		f.Load() //nolint:errcheck // the old certificates stay in use.
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func mutual(pool *x509.CertPool, certs ...tls.Certificate) *tls.Config {
	return &tls.Config{
		Certificates: certs,
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// Authority issues the certificates of nodes.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewAuthority returns an Authority with a fresh key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make a CA key")
	}
	template := certTemplate("goldcrestwick", authorityLife)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "make a CA")
	}
	return newAuthority(raw, key)
}

func newAuthority(raw []byte, key *ecdsa.PrivateKey) (*Authority, error) {
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, eris.Wrap(err, "read the CA certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Authority{cert, key, pool}, nil
}

// The PEM blocks of an encoded authority.
const (
	certBlock = "CERTIFICATE"
	keyBlock  = "PRIVATE KEY"
)

// Encode returns the authority with its key as two PEM blocks.
func (a *Authority) Encode() ([]byte, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, eris.Wrap(err, "encode the CA key")
	}
	return append(a.PEM(), pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: raw})...), nil
}

// ParseAuthority reads what Encode returned.
func ParseAuthority(text []byte) (*Authority, error) {
	cert, rest := pem.Decode(text)
	key, _ := pem.Decode(rest)
	if cert == nil || key == nil || cert.Type != certBlock || key.Type != keyBlock {
		return nil, eris.New("the CA is not a certificate and a key in PEM")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(key.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "read the CA key")
	}
	private, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.New("the CA key is not an ECDSA key")
	}
	return newAuthority(cert.Bytes, private)
}

// Derive returns a secret for a purpose, which everybody who has the authority
// derives alike.
func (a *Authority) Derive(purpose string) [sha256.Size]byte {
	mac := hmac.New(sha256.New, a.key.D.Bytes()) //nolint:staticcheck // the scalar is the secret.
	mac.Write([]byte(purpose))
	return [sha256.Size]byte(mac.Sum(nil))
}

// Issue returns the TLS settings of a node at an IP address.
func (a *Authority) Issue(name string, ip net.IP) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make a node key")
	}
	template := certTemplate(name, CertLife)
	template.IPAddresses = []net.IP{ip}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, eris.Wrap(err, "issue a node certificate")
	}
	return mutual(a.pool, tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}), nil
}

// PEM returns the authority's certificate in the form that Files reads.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: a.cert.Raw})
}

// PEMOf returns a node's issued certificate and key in the form that Files
// reads.
func PEMOf(c *tls.Config) (cert, key []byte, err error) {
	raw, err := x509.MarshalPKCS8PrivateKey(c.Certificates[0].PrivateKey)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode a node key")
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: c.Certificates[0].Certificate[0]})
	key = pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: raw})
	return cert, key, nil
}

func certTemplate(name string, life time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // crypto/rand.Reader never fails.
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSlack),
		NotAfter:     time.Now().Add(life),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

// Fixed returns a TLS source that never changes.
func Fixed(c *tls.Config) func() *tls.Config { return func() *tls.Config { return c } }
