package auth

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/xdg-go/scram"

	"github.com/citronrun/citronrun/internal/catalog"
)

// exchange runs a SCRAM exchange as a caller with the given key. It returns the server-first
// message and the id of the key that the server accepted.
func exchange(t *testing.T, a *Authenticator, name string, team catalog.Team, known bool, key string) (first, id string, err error) {
	t.Helper()
	is := is.New(t)
	client, err := scram.SHA256.NewClient("", key, "")
	is.NoErr(err)
	conv := client.NewConversation()
	clientFirst, err := conv.Step("")
	is.NoErr(err)
	ex, err := a.Start(name, team, known)
	is.NoErr(err)
	first, err = ex.First(clientFirst)
	is.NoErr(err)
	clientFinal, err := conv.Step(first)
	is.NoErr(err)
	reply, id, err := ex.Final(clientFinal)
	if err == nil {
		_, err = conv.Step(reply)
		is.NoErr(err) // SCRAM also authenticates the server
	}
	return first, id, err
}

func testTeam(t *testing.T, keys map[string]string) catalog.Team {
	t.Helper()
	team := catalog.Team{Salt: NewSalt(), Iterations: DefaultIterations, Keys: map[string]catalog.Key{}}
	for id, key := range keys {
		verifier, err := Verifier(key, team.Salt, team.Iterations)
		is.New(t).NoErr(err)
		team.Keys[id] = verifier
	}
	return team
}

// Guards against a key that is accepted under the id of another one, and against withdrawn keys
// that are still accepted.
func TestSeveralKeysOfOneTeam(t *testing.T) {
	is := is.New(t)
	a := New()
	one, two, withdrawn := NewKey(), NewKey(), NewKey()
	is.True(len(one) >= 22) // at least 128 bits in base64
	team := testTeam(t, map[string]string{"one": one, "two": two, "withdrawn": withdrawn})
	verifier := team.Keys["withdrawn"]
	verifier.Withdrawn = true
	team.Keys["withdrawn"] = verifier
	for id, key := range map[string]string{"one": one, "two": two} {
		_, got, err := exchange(t, a, "red", team, true, key)
		is.NoErr(err)
		is.Equal(got, id)
	}
	for _, key := range []string{withdrawn, NewKey()} {
		_, _, err := exchange(t, a, "red", team, true, key)
		is.True(errors.Is(err, ErrRefused))
	}
}

// Guards against responses that reveal whether a team exists: an unknown name must get the same
// salt in every exchange, and different names different salts.
func TestUnknownTeamLooksLikeWrongKey(t *testing.T) {
	is := is.New(t)
	a := New()
	salt := func(first string) string { return strings.Split(first, ",")[1] }
	f1, _, err := exchange(t, a, "nobody", catalog.Team{}, false, NewKey())
	is.True(errors.Is(err, ErrRefused))
	f2, _, err := exchange(t, a, "nobody", catalog.Team{}, false, NewKey())
	is.True(errors.Is(err, ErrRefused))
	f3, _, _ := exchange(t, a, "other", catalog.Team{}, false, NewKey())
	is.Equal(salt(f1), salt(f2)) // stable for one name
	is.True(salt(f1) != salt(f3))
}
