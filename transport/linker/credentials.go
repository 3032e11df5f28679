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
// Peers are authenticated by public key alone, so the dates don't matter.
const certificateYears = 100

// derivePrivateKey derives the key of one epoch, the same in every process.
func derivePrivateKey(keys *keyer.Keys, epoch keyer.Epoch) (ed25519.PrivateKey, error) {
	seed, err := keys.Derive(epoch, keyer.PurposePeer)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func selfSignedCertificate(key ed25519.PrivateKey) (tls.Certificate, error) {
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

// tlsConfig returns one side's configuration for a handshake. Each side presents
// the certificate of the current epoch and accepts those of all accepted epochs.
// Certificates are compared by public key; the TLS handshake proves that the
// peer holds the private key.
func tlsConfig(keys *keyer.Keys) (*tls.Config, error) {
	current, err := derivePrivateKey(keys, keys.Current)
	if err != nil {
		return nil, fmt.Errorf("tlsConfig: %w", err)
	}
	own, err := selfSignedCertificate(current)
	if err != nil {
		return nil, fmt.Errorf("tlsConfig: %w", err)
	}
	var accepted []ed25519.PublicKey
	for _, epoch := range keys.Epochs() {
		key, err := derivePrivateKey(keys, epoch)
		if err != nil {
			return nil, fmt.Errorf("tlsConfig: %w", err)
		}
		accepted = append(accepted, key.Public().(ed25519.PublicKey))
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{own},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection checks the peer's key instead of name and issuer.
		SessionTicketsDisabled: true, // A resumed session presents no certificate.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeerKey(state, accepted)
		},
	}, nil
}

func verifyPeerKey(state tls.ConnectionState, accepted []ed25519.PublicKey) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUnauthenticated
	}
	presented, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrUnauthenticated
	}
	for _, key := range accepted {
		if key.Equal(presented) {
			return nil
		}
	}
	return ErrUnauthenticated
}
