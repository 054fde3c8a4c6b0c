package mesh

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 2 * 365 * 24 * time.Hour
	// clockTolerance backdates the start of validity, so that instances whose clocks are slow
	// accept a new certificate.
	clockTolerance = time.Hour
	serialBits     = 127
)

// KeyPair contains a certificate and its private key, both PEM encoded.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates the certificate authority of a mesh.
func NewAuthority(name string, now time.Time) (KeyPair, error) {
	template, err := newTemplate(name, now, authorityValidity)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, template, nil)
}

// Issue creates a certificate and key for a process or an operator, signed by ca. ips
// are the addresses on which the holder accepts links.
func (ca KeyPair) Issue(name string, role Role, ips []net.IP, now time.Time) (KeyPair, error) {
	parent, key, err := ca.parse()
	if err != nil {
		return KeyPair{}, err
	}
	template, err := newTemplate(name, now, certificateValidity)
	if err != nil {
		return KeyPair{}, err
	}
	template.Subject.OrganizationalUnit = []string{string(role)}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	return sign(template, parent, key)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "generate certificate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(validity),
	}, nil
}

// sign generates a key for template and signs the certificate with parentKey, or with
// the generated key if parentKey is nil.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fault.Wrap(fault.Internal, err, "generate private key")
	}
	if parentKey == nil {
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, fault.Wrap(fault.Internal, err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fault.Wrap(fault.Internal, err, "encode private key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func (ca KeyPair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(ca.Certificate)
	keyBlock, _ := pem.Decode(ca.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, fault.New(fault.SettingsInvalid, "certificate or key of the certificate authority is not PEM encoded")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, fault.Wrap(fault.SettingsInvalid, err, "parse certificate of the certificate authority")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, fault.Wrap(fault.SettingsInvalid, err, "parse key of the certificate authority")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fault.New(fault.SettingsInvalid, "key of the certificate authority is not an ECDSA key")
	}
	return cert, key, nil
}
