package constraint

// tolerance is the difference below which two numbers count as equal. It absorbs rounding errors of decimal amounts.
const tolerance = 1e-9

// holds reports whether the expression holds for a machine of the class. hasImage is whether the machine holds the
// job's image.
func (e *either) holds(class MachineClass, hasImage bool) bool {
	for _, conjunction := range e.Any {
		if conjunction.holds(class, hasImage) {
			return true
		}
	}
	return false
}

func (b *both) holds(class MachineClass, hasImage bool) bool {
	for _, t := range b.All {
		if !t.holds(class, hasImage) {
			return false
		}
	}
	return true
}

func (t *term) holds(class MachineClass, hasImage bool) bool {
	switch {
	case t.Not != nil:
		return !t.Not.holds(class, hasImage)
	case t.Group != nil:
		return t.Group.holds(class, hasImage)
	case t.Spot:
		return class.Spot
	case t.Image:
		return hasImage
	}
	return t.Compare.holds(class)
}

func (c *compare) holds(class MachineClass) bool {
	if c.Value == nil {
		return c.inList(class) != c.NotIn
	}
	switch c.Op {
	case "=":
		return c.equal(class, c.Value)
	case "!=":
		return !c.equal(class, c.Value)
	}
	actual, limit := c.number(class), *c.Value.Number
	switch c.Op {
	case "<":
		return actual < limit-tolerance
	case "<=":
		return actual <= limit+tolerance
	case ">":
		return actual > limit+tolerance
	}
	return actual >= limit-tolerance
}

// inList reports whether the class's value of the attribute equals any value in the list.
func (c *compare) inList(class MachineClass) bool {
	for _, v := range c.In {
		if c.equal(class, v) {
			return true
		}
	}
	return false
}

// equal reports whether the class's value of the attribute equals v.
func (c *compare) equal(class MachineClass, v *value) bool {
	switch c.Attr {
	case "type":
		return class.Type.Name == *v.Text
	case "zone":
		return class.Zone == *v.Text
	}
	difference := c.number(class) - *v.Number
	return difference < tolerance && difference > -tolerance
}

// number returns the class's value of a numeric attribute: the number of CPUs or GPUs, the memory or disk in GB, the
// fetch rate in GB per second, or the price per hour.
func (c *compare) number(class MachineClass) float64 {
	switch c.Attr {
	case "cpus":
		return class.Type.Capacity.CPU
	case "gpus":
		return class.Type.Capacity.GPU
	case "memory":
		return class.Type.Capacity.MemGB
	case "disk":
		return class.Type.CacheGB
	case "fetch":
		return class.Type.FetchGBPerS
	}
	return class.Price()
}
