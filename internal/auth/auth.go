// Package auth creates SCRAM-SHA-256 verifiers (RFC 5802, RFC 7677) and authenticates callers by
// their keys.
package auth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/xdg-go/scram"

	"github.com/citronrun/citronrun/internal/catalog"
)

const (
	// SaltBytes is the length of a team's salt.
	SaltBytes = 16
	// KeyBytes is the number of random bytes in a key.
	KeyBytes = 24
	// DefaultIterations is the PBKDF2 iteration count of new teams. A higher count would protect
	// weak passwords; keys are random and don't need it.
	DefaultIterations = 4096

	// MinIterations is the lowest count that RFC 7677 allows.
	MinIterations = 4096

	nonceBytes = 18
)

// Mechanism is the SASL mechanism offered to callers.
const Mechanism = "SCRAM-SHA-256"

// ErrRefused means that no key of the team matches, or that there is no such team.
var ErrRefused = errors.New("key refused")

// NewSalt returns a random salt for a team.
func NewSalt() []byte {
	salt := make([]byte, SaltBytes)
	_, _ = rand.Read(salt) // never fails
	return salt
}

// NewKey returns a random key of 192 bits in URL-safe characters.
func NewKey() string {
	key := make([]byte, KeyBytes)
	_, _ = rand.Read(key) // never fails
	return base64.RawURLEncoding.EncodeToString(key)
}

// Verifier derives the SCRAM verifier of a key. The catalog stores it instead of the key, as a catalog.Key.
func Verifier(key string, salt []byte, iterations int) (catalog.Key, error) {
	if iterations < MinIterations {
		return catalog.Key{}, fmt.Errorf("got %d PBKDF2 iterations, want at least %d", iterations, MinIterations)
	}
	if len(salt) == 0 || key == "" {
		return catalog.Key{}, errors.New("key or salt is empty")
	}
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		return catalog.Key{}, errors.New("key has characters that SASLprep prohibits")
	}
	creds, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return catalog.Key{}, errors.New("key derivation failed")
	}
	return catalog.Key{StoredKey: creds.StoredKey, ServerKey: creds.ServerKey}, nil
}

// Authenticator authenticates callers. It is safe for concurrent use.
type Authenticator struct {
	decoySeed [sha256.Size]byte // random and secret; decoy salts and verifiers are derived from it
}

// New returns an Authenticator with a random decoy seed.
func New() *Authenticator {
	a := &Authenticator{}
	_, _ = rand.Read(a.decoySeed[:]) // never fails
	return a
}

// Exchange is one caller's SCRAM exchange. It isn't safe for concurrent use.
type Exchange struct {
	keyIDs        []string
	conversations []*scram.ServerConversation
}

// Start begins an exchange for a team. An unknown team, or one without a valid key, gets an
// exchange that always fails at the end, so that callers can't find out which teams exist.
func (a *Authenticator) Start(name string, team catalog.Team, known bool) (*Exchange, error) {
	nonce := newNonce()
	e := &Exchange{}
	if known {
		for _, id := range slices.Sorted(maps.Keys(team.Keys)) {
			if err := e.add(id, team, nonce); err != nil {
				return nil, err
			}
		}
	}
	if len(e.conversations) > 0 {
		return e, nil
	}
	return e, e.add("", a.decoyTeam(name, team, known), nonce)
}

// add starts a SCRAM conversation for the key with the given id, unless the key is withdrawn.
func (e *Exchange) add(id string, team catalog.Team, nonce string) error {
	verifier := team.Keys[id]
	if verifier.Withdrawn {
		return nil
	}
	creds := scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(team.Salt), Iters: team.Iterations},
		StoredKey:  verifier.StoredKey,
		ServerKey:  verifier.ServerKey,
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return creds, nil })
	if err != nil {
		return errors.New("SCRAM server could not be created")
	}
	server.WithNonceGenerator(func() string { return nonce })
	e.keyIDs = append(e.keyIDs, id)
	e.conversations = append(e.conversations, server.NewConversation())
	return nil
}

// decoyTeam returns a team with one key that nobody holds. The salt of an unknown name is the same
// for the lifetime of the process, as a real one would be.
func (a *Authenticator) decoyTeam(name string, team catalog.Team, known bool) catalog.Team {
	out := catalog.Team{Salt: a.derive("salt", name)[:SaltBytes], Iterations: DefaultIterations}
	if known && len(team.Salt) > 0 {
		out.Salt, out.Iterations = team.Salt, team.Iterations
	}
	verifier := catalog.Key{StoredKey: a.derive("stored", name), ServerKey: a.derive("server", name)}
	out.Keys = map[string]catalog.Key{"": verifier}
	return out
}

func (a *Authenticator) derive(use, name string) []byte {
	mac := hmac.New(sha256.New, a.decoySeed[:])
	_, _ = mac.Write([]byte(use + "\x00" + name))
	return mac.Sum(nil)
}

// First processes the client-first message and returns the server-first message.
func (e *Exchange) First(msg string) (string, error) {
	var out string
	for _, c := range e.conversations {
		s, err := c.Step(msg)
		if err != nil {
			return "", errors.New("malformed SCRAM message")
		}
		out = s
	}
	return out, nil
}

// Final processes the client-final message. It returns the server-final message and the id of the
// key that matched, or ErrRefused. Every key is tried even after a match, so that the time taken
// doesn't reveal which one matched.
func (e *Exchange) Final(msg string) (reply, keyID string, err error) {
	err = ErrRefused
	for i, c := range e.conversations {
		s, stepErr := c.Step(msg)
		if stepErr == nil && c.Valid() && e.keyIDs[i] != "" {
			reply, keyID, err = s, e.keyIDs[i], nil
		}
	}
	return reply, keyID, err
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // never fails
	return base64.StdEncoding.EncodeToString(b)
}
