"""Outside edges and the peer link: the only modules that know an encoding."""
