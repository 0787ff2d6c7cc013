package tabler

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"strings"
)

// ErrMalformedKey means that a text cannot be a key at all.
var ErrMalformedKey = errors.New("malformed key")

// secretPrefix makes keys easy to recognise in leak scanners.
const secretPrefix = "bh-"

// secretSize is the random part of a key, in bytes.
const secretSize = 32

// Key is a workspace key. The secret itself is never stored.
type Key struct {
	// ID names the key to operators: the first half of its hash.
	ID        string `json:"id"`
	Hash      string `json:"-" cbor:"Hash"`
	Workspace string `json:"workspace"`
	// HomeRegion is where the key is honoured without contact elsewhere.
	HomeRegion string `json:"home-region"`
	// Withdrawn is a tombstone. It is never unset.
	Withdrawn bool `json:"withdrawn"`
}

// NewSecret makes a key's secret of 256 random bits.
func NewSecret() string {
	bytes := make([]byte, secretSize)
	_, _ = rand.Read(bytes) // never fails: see the crypto/rand package
	return secretPrefix + base64.RawURLEncoding.EncodeToString(bytes)
}

// HashSecret returns the hash that stands for a secret, or ErrMalformedKey.
func HashSecret(secret string) (string, error) {
	text, found := strings.CutPrefix(secret, secretPrefix)
	if !found {
		return "", ErrMalformedKey
	}
	bytes, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(bytes) != secretSize {
		return "", ErrMalformedKey
	}
	sum := sha256.Sum256(bytes)
	return hex.EncodeToString(sum[:]), nil
}

// NewKey makes the record of a secret.
func NewKey(secret, workspace, homeRegion string) (Key, error) {
	hash, err := HashSecret(secret)
	if err != nil {
		return Key{}, err
	}
	return Key{ID: hash[:16], Hash: hash, Workspace: workspace, HomeRegion: homeRegion}, nil
}

func (s *State) give(key Key) Result {
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

func (s *State) withdraw(withdrawal Withdrawal) Result {
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
