"""Router for separate prefill and decode pools of LLM engines."""

__all__ = ['__version__']

__version__ = '0.1.0'
