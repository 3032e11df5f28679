package linker

import (
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"

	"gooseberrymast/protocol/keyer"
)

// certificateYears is the validity of the in-memory certificates, in years.
// Trust comes from the public key alone, so the dates carry no meaning.
const certificateYears = 100

// privateKey derives the key pair of one epoch, the same in every process.
func privateKey(keys *keyer.Keys, epoch keyer.Epoch) (ed25519.PrivateKey, error) {
	seed, err := keys.Derive(epoch, keyer.PurposePeer)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func certificate(key ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "gooseberrymast peer"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(0, 0).AddDate(certificateYears, 0, 0),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// tlsConfig gives one side's configuration for a handshake. Each side shows
// the current epoch's certificate and accepts those of all accepted epochs.
// Certificates are compared by public key; the TLS handshake proves that the
// peer holds the private key.
func tlsConfig(keys *keyer.Keys) (*tls.Config, error) {
	current, err := privateKey(keys, keys.Current)
	if err != nil {
		return nil, fmt.Errorf("tlsConfig: %w", err)
	}
	own, err := certificate(current)
	if err != nil {
		return nil, fmt.Errorf("tlsConfig: %w", err)
	}
	var accepted []ed25519.PublicKey
	for _, epoch := range keys.Epochs() {
		key, err := privateKey(keys, epoch)
		if err != nil {
			return nil, fmt.Errorf("tlsConfig: %w", err)
		}
		accepted = append(accepted, key.Public().(ed25519.PublicKey))
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{own},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection replaces the check of names and issuers.
		SessionTicketsDisabled: true, // A resumed session would not show a certificate.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, accepted)
		},
	}, nil
}

func verify(state tls.ConnectionState, accepted []ed25519.PublicKey) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUnauthenticated
	}
	shown, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrUnauthenticated
	}
	for _, key := range accepted {
		if key.Equal(shown) {
			return nil
		}
	}
	return ErrUnauthenticated
}
