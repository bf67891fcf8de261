package shardmap

import (
	"encoding/json"
	"errors"
	"testing"

	"weirwind/internal/shard/shardplan"
)

// The expected texts were recorded before the types were renamed.
func TestJSONErrorsKeepPublishedTypeNames(t *testing.T) {
	const prefix = "json: cannot unmarshal number into Go "
	for _, c := range []struct {
		into       any
		text, want string
	}{
		{&Change{}, `{"kind":5}`, prefix + "struct field Change.kind of type shardmap.Kind"},
		{&Change{}, `{"fate":5}`, prefix + "struct field Change.fate of type shardmap.Fate"},
		{&Change{}, `{"tasks":[{"fate":5}]}`, prefix + "struct field Task.tasks.fate of type shardmap.Fate"},
		{&Change{}, `{"nodes":{"a":{"state":5}}}`, prefix + "struct field Node.nodes.state of type shardplan.State"},
		{&Change{}, `{"nodes":5}`, prefix + "struct field Change.nodes of type map[string]shardmap.Node"},
		{&Change{}, `{"tasks":[5]}`, prefix + "struct field Change.tasks of type shardmap.Task"},
		{&Change{}, `{"rules":5}`, prefix + "struct field Change.rules of type shardmap.Rules"},
		{&Change{}, `5`, prefix + "value of type shardmap.Change"},
		{&Rules{}, `{"perNode":"x"}`, "json: cannot unmarshal string into Go struct field Rules.perNode of type int"},
		{&shardplan.Cluster{}, `{"nodes":[{"state":5}]}`, prefix + "struct field Node.nodes.state of type shardplan.State"},
		{&shardplan.Cluster{}, `{"nodes":[5]}`, prefix + "struct field Cluster.nodes of type shardplan.Node"},
		{&shardplan.Cluster{}, `{`, "unexpected end of JSON input"},
	} {
		t.Run(c.text, func(t *testing.T) {
			err := WithPublishedTypes(json.Unmarshal([]byte(c.text), c.into))
			if err == nil || err.Error() != c.want {
				t.Fatalf("got  %v\nwant %s", err, c.want)
			}
			var typeError *json.UnmarshalTypeError
			if c.text != `{` && !errors.As(err, &typeError) {
				t.Fatalf("%T has lost its cause", err)
			}
		})
	}
	if err := WithPublishedTypes(nil); err != nil {
		t.Fatalf("%v from no error", err)
	}
}
