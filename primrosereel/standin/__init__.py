"""standin"""
