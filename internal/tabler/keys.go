package tabler

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"strings"
)

// ErrMalformedKey means that a text does not have the form of a key.
var ErrMalformedKey = errors.New("malformed key")

// secretPrefix lets scanners for leaked secrets recognize keys.
const secretPrefix = "bh-"

// secretBytes is the length of a secret's random part before encoding.
const secretBytes = 32

// Key is the record of a workspace's key. The secret itself is never stored.
type Key struct {
	// ID identifies the key to operators. It is the first 16 digits of Hash.
	ID string `json:"id"`
	// Hash is the SHA-256 hash of the secret's random part, in hexadecimal.
	Hash      string `json:"-" cbor:"Hash"`
	Workspace string `json:"workspace"`
	// HomeRegion is the region that accepts the key without contact to other
	// regions.
	HomeRegion string `json:"home-region"`
	// Withdrawn is true for good once the key is withdrawn. The record is kept,
	// so that the key is not taken for an unknown one.
	Withdrawn bool `json:"withdrawn"`
}

// NewSecret returns a new secret with 256 random bits.
func NewSecret() string {
	random := make([]byte, secretBytes)
	_, _ = rand.Read(random) // never fails: see the crypto/rand package
	return secretPrefix + base64.RawURLEncoding.EncodeToString(random)
}

// HashSecret returns the hash of a secret as in Key.Hash, or ErrMalformedKey.
func HashSecret(secret string) (string, error) {
	text, found := strings.CutPrefix(secret, secretPrefix)
	if !found {
		return "", ErrMalformedKey
	}
	random, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(random) != secretBytes {
		return "", ErrMalformedKey
	}
	sum := sha256.Sum256(random)
	return hex.EncodeToString(sum[:]), nil
}

// NewKey returns the record of a secret, or ErrMalformedKey.
func NewKey(secret, workspace, homeRegion string) (Key, error) {
	hash, err := HashSecret(secret)
	if err != nil {
		return Key{}, err
	}
	return Key{ID: hash[:16], Hash: hash, Workspace: workspace, HomeRegion: homeRegion}, nil
}

// addKey adds a key. The home region of its workspace, if there is one, overrides
// the key's own.
func (s *State) addKey(key Key) Result {
	workspace, known := s.Workspaces[key.Workspace]
	if !known {
		return s.refuse(RefusalUnknown, "workspace %q", key.Workspace)
	}
	if home := workspace.Value.HomeRegion; home != "" {
		key.HomeRegion = home
	}
	if _, known := s.Regions[key.HomeRegion]; !known {
		return s.refuse(RefusalUnknown, "region %q", key.HomeRegion)
	}
	if _, taken := s.Keys[key.ID]; taken {
		return s.refuse(RefusalExists, "key %q", key.ID)
	}
	s.Revision++
	key.Withdrawn = false
	put(&s.Keys, s.Revision, key.ID, key)
	return Result{Revision: s.Revision}
}

func (s *State) withdrawKey(withdrawal Withdrawal) Result {
	key, known := s.Keys[withdrawal.KeyID]
	if !known {
		return s.refuse(RefusalUnknown, "key %q", withdrawal.KeyID)
	}
	if key.Value.Withdrawn {
		return Result{Revision: s.Revision}
	}
	s.Revision++
	key.Value.Withdrawn = true
	put(&s.Keys, s.Revision, key.Value.ID, key.Value)
	return Result{Revision: s.Revision}
}
