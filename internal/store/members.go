package store

import (
	"context"

	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/wire"
)

// membersPrefix is the key prefix of the records in which members publish their program's version. Each record is
// attached to a lease of its member.
const membersPrefix = "rollout/"

// PublishMember writes the record of this member. The state service deletes it when the lease expires.
func (c *Client) PublishMember(ctx context.Context, leaseID uint64, member featuregate.Member) error {
	change := wire.Change{Key: membersPrefix + member.Name, Value: wire.AppendMember(nil, member), Lease: leaseID}
	_, _, err := c.Commit(ctx, &wire.Txn{Changes: []wire.Change{change}}, false)
	return err
}

// ListMembers returns the published records by the name of the member. A member that does not run, or whose program
// does not support feature levels, has no record.
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
