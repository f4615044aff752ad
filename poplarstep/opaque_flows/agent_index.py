r"""Finds the target of an agent by the agent's address."""


class AgentIndex:
    r"""Targets of a catalogue by the address of their agent.

    The index is rebuilt when it is used after a change of the catalogue.
    """

    __slots__ = ('catalogue', 'version', 'target_by_agent')

    def __init__(self, catalogue):
        self.catalogue = catalogue
        self.version = None
        self.target_by_agent = {}

    def target(self, agent):
        r"""Return the target of an agent, or None if it is not known.

        An address that a later target has taken over stands for that one.
        """
        if self.version != self.catalogue.version:
            self.version = self.catalogue.version
            self.target_by_agent = {
                target.agent: target for _, target in sorted(
                    self.catalogue.target_by_number.items())}
        return self.target_by_agent.get(agent)
