"""How configuration reaches every node and how nodes report."""

__all__ = ['gathering', 'message', 'model', 'publisher', 'route', 'subscriber']
