int main()
{
}
