package store

import (
	"context"

	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/wire"
)

// membersPrefix is where members publish their program's version, each under a lease of its own.
const membersPrefix = "rollout/"

// PublishMember writes the record of this member, attached to a lease.
func (c *Client) PublishMember(ctx context.Context, leaseID uint64, member featuregate.Member) error {
	change := wire.Change{Key: membersPrefix + member.Name, Value: wire.AppendMember(nil, member), Lease: leaseID}
	_, _, err := c.Commit(ctx, &wire.Txn{Changes: []wire.Change{change}}, false)
	return err
}

// ListMembers reads the members' records by name. A member that is gone, or whose program has no
// feature levels, has none.
func (c *Client) ListMembers(ctx context.Context) (map[string]featuregate.Member, error) {
	entries, _, err := c.List(ctx, membersPrefix)
	if err != nil {
		return nil, err
	}
	members := map[string]featuregate.Member{}
	for _, e := range entries {
		member, err := wire.DecodeMember(e.Key[len(membersPrefix):], e.Value)
		if err != nil {
			return nil, &RecordError{Key: e.Key, Err: err}
		}
		members[member.Name] = member
	}
	return members, nil
}
