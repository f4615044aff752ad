"""The configuration: its objects, commands and replicated state machine.

Control hosts apply the committed commands to a state machine. Every other
node holds a copy of the resulting objects, the catalogue.
"""

__all__ = [
    'catalogue', 'command', 'machine', 'model', 'planners', 'replacement']
