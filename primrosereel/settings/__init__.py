"""settings"""
